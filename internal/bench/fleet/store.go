package fleet

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Store simulates the platform's key-value service in memory, with compare-and-swap, leases and watches.
type Store struct {
	// Down makes every call return store.Unavailable. SetDown changes it and ends the watches.
	Down bool
	// Partitioned reports whether a daemon cannot reach the service: its calls fail and its watch ends without notice.
	Partitioned func(n *Node) bool
	// LoseResponse reports whether the response to a call is lost although the call takes effect.
	LoseResponse func(call store.Call) bool
	// Delay is the time from a call of a daemon to the response, and from a change to its delivery to a watch.
	Delay func(n *Node) time.Duration
	// Reads, Writes and Watches count the calls of all daemons.
	Reads, Writes, Watches int
	// OnCall is called with each read or write, before it is executed; nil is allowed.
	OnCall func(n *Node, call store.Call)

	fleet    *Fleet
	revision int64
	entries  map[string]store.Entry
	leases   map[store.LeaseID]*lease
	watchers map[*Node]int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore(f *Fleet) *Store {
	return &Store{
		fleet: f, entries: map[string]store.Entry{}, leases: map[store.LeaseID]*lease{}, watchers: map[*Node]int64{},
		Delay: func(*Node) time.Duration { return 3 * time.Millisecond },
	}
}

// SetDown starts or ends an outage; the start ends all watches. Leases expire during an outage too.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if !down {
		return
	}
	for _, n := range s.fleet.Nodes {
		if _, ok := s.watchers[n]; ok {
			delete(s.watchers, n)
			n.handleAfter(s.Delay(n), effect.KeyChanged{Key: store.KeyConfiguration, Event: store.WatchEvent{Lost: true}})
		}
	}
}

// handleCall counts a call and executes it halfway through its delay.
func (s *Store) handleCall(n *Node, e effect.StoreCall) {
	if e.Call.Kind.IsWrite() {
		s.Writes++
	} else {
		s.Reads++
	}
	if s.OnCall != nil {
		s.OnCall(n, e.Call)
	}
	d := s.Delay(n)
	generation := n.generation
	s.fleet.After(d/2, func() {
		result := store.Result{Outcome: store.Unavailable}
		if s.isReachableFrom(n) {
			result = s.execute(e.Call)
			if s.LoseResponse != nil && s.LoseResponse(e.Call) {
				result = store.Result{Outcome: store.Unknown}
			}
		}
		if n.generation == generation {
			n.handleAfter(d/2, effect.StoreDone{Request: e.Request, Result: result})
		}
	})
}

func (s *Store) isReachableFrom(n *Node) bool {
	return !s.Down && (s.Partitioned == nil || !s.Partitioned(n))
}

func (s *Store) execute(call store.Call) store.Result {
	s.removeExpired()
	r := store.Result{Outcome: store.Applied, Revision: s.revision}
	switch call.Kind {
	case store.KindGet:
		if e, ok := s.entries[call.Key]; ok {
			r.Entries = []store.Entry{e}
		}
	case store.KindList:
		r.Entries = s.list(call.Key)
	case store.KindTxn:
		return s.executeTxn(call.Txn)
	case store.KindGrant:
		s.revision++
		r.Lease, r.TTL = store.LeaseID(s.revision), call.TTL
		s.leases[r.Lease] = &lease{ttl: call.TTL, expires: s.fleet.Now.Add(call.TTL)}
	case store.KindKeepAlive:
		l := s.leases[call.Lease]
		if l == nil {
			return store.Result{Outcome: store.NotFound}
		}
		l.expires = s.fleet.Now.Add(l.ttl)
		r.Lease, r.TTL = call.Lease, l.ttl
	case store.KindRevoke:
		delete(s.leases, call.Lease)
		s.removeExpired()
	}
	return r
}

func (s *Store) list(prefix string) []store.Entry {
	var list []store.Entry
	for _, key := range sortedKeys(s.entries) {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			list = append(list, s.entries[key])
		}
	}
	return list
}

func (s *Store) executeTxn(t store.Txn) store.Result {
	r := store.Result{Outcome: store.Applied}
	for _, c := range t.Compares {
		e := s.entries[c.Key]
		if (c.UseCreate && e.CreateRevision != c.CreateRevision) || (!c.UseCreate && e.ModRevision != c.ModRevision) {
			r.Outcome = store.Conflict
		}
		if e.Key != "" {
			r.Entries = append(r.Entries, e)
		}
	}
	if r.Outcome == store.Conflict {
		return r
	}
	r.Entries = nil
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return store.Result{Outcome: store.NotFound}
		}
	}
	s.revision++
	r.Revision = s.revision
	for _, key := range t.Deletes {
		delete(s.entries, key)
	}
	for _, p := range t.Puts {
		s.storeEntry(p)
	}
	return r
}

func (s *Store) storeEntry(p store.Put) {
	e := store.Entry{Key: p.Key, Value: p.Value, CreateRevision: s.revision, ModRevision: s.revision, Lease: p.Lease}
	if old, ok := s.entries[p.Key]; ok {
		e.CreateRevision = old.CreateRevision
	}
	s.entries[p.Key] = e
	if p.Key == store.KeyConfiguration {
		for _, n := range s.fleet.Nodes {
			if _, ok := s.watchers[n]; ok && !s.isReachableFrom(n) {
				delete(s.watchers, n)
			} else if ok {
				n.handleAfter(s.Delay(n), effect.KeyChanged{Key: p.Key, Event: store.WatchEvent{Entry: e}})
			}
		}
	}
}

func (s *Store) removeExpired() {
	for key, e := range s.entries {
		if l := s.leases[e.Lease]; e.Lease != 0 && (l == nil || s.fleet.Now.After(l.expires)) {
			delete(s.entries, key)
		}
	}
	for id, l := range s.leases {
		if s.fleet.Now.After(l.expires) {
			delete(s.leases, id)
		}
	}
}

func (s *Store) watch(n *Node, key string, after int64) {
	s.Watches++
	if !s.isReachableFrom(n) {
		n.handleAfter(s.Delay(n), effect.KeyChanged{Key: key, Event: store.WatchEvent{Lost: true}})
		return
	}
	s.watchers[n] = after
	if e, ok := s.entries[key]; ok && e.ModRevision > after {
		n.handleAfter(s.Delay(n), effect.KeyChanged{Key: key, Event: store.WatchEvent{Entry: e}})
	}
}

func (s *Store) unwatch(n *Node) { delete(s.watchers, n) }

// ExpireLeases ends all leases, as if they had expired without their holders noticing.
func (s *Store) ExpireLeases() {
	clear(s.leases)
	s.removeExpired()
}

// Leader returns the leader record of a data centre, if the lease has not expired.
func (s *Store) Leader(dc model.DataCentre) (agent.LeaderRecord, bool) {
	s.removeExpired()
	e, ok := s.entries[store.PrefixLeaders+string(dc)]
	if !ok {
		return agent.LeaderRecord{}, false
	}
	record, err := Codec{}.DecodeLeader(e.Value)
	return record, err == nil
}

// Write stores a configuration directly, as a writer outside the fleet would.
func (s *Store) Write(c *model.Configuration) {
	value, err := Codec{}.EncodeConfiguration(c)
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	s.WriteRaw(value)
}

// WriteRaw stores arbitrary bytes as the configuration.
func (s *Store) WriteRaw(value []byte) {
	s.revision++
	s.storeEntry(store.Put{Key: store.KeyConfiguration, Value: value})
}

// Codec encodes the stored values as JSON.
type Codec struct{}

// DecodeConfiguration implements agent.Codec.
func (Codec) DecodeConfiguration(data []byte) (*model.Configuration, error) {
	c := &model.Configuration{}
	return c, errors.Wrap(json.Unmarshal(data, c), "decode configuration")
}

// EncodeConfiguration implements agent.Codec.
func (Codec) EncodeConfiguration(c *model.Configuration) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode configuration")
}

// DecodeLeader implements agent.Codec.
func (Codec) DecodeLeader(data []byte) (agent.LeaderRecord, error) {
	var r agent.LeaderRecord
	return r, errors.Wrap(json.Unmarshal(data, &r), "decode leader")
}

// EncodeLeader implements agent.Codec.
func (Codec) EncodeLeader(r agent.LeaderRecord) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode leader")
}
