package platform

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/platform/wire"
)

// maxHistory bounds the changes kept for watches that start in the past. Older revisions count as compacted.
const maxHistory = 10_000

// maxPending bounds the changes that wait for a slow watch before the service ends it.
const maxPending = 1024

// state is the content of the service. The loop goroutine owns it; methods take the time as an argument.
type state struct {
	revision  int64
	entries   map[string]wire.KeyValue
	leases    map[int64]*lease
	lastLease int64
	// history holds the latest changes in the order of their revisions.
	history   []wire.Event
	compacted int64
	watchers  map[*watcher]struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// watcher receives the changes of a range of keys. The loop closes events to end the watch.
type watcher struct {
	key    []byte
	end    []byte
	events chan []wire.Event
}

func newState() *state {
	return &state{
		revision: 1, entries: map[string]wire.KeyValue{}, leases: map[int64]*lease{},
		watchers: map[*watcher]struct{}{},
	}
}

// within reports whether a key lies in a range. An empty end means the single key, a zero byte means no end.
func within(key, start, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, start)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, start) >= 0
	default:
		return bytes.Compare(key, start) >= 0 && bytes.Compare(key, end) < 0
	}
}

// get is a query: the entries of a range in the order of their keys.
func (s *state) get(request wire.RangeRequest) wire.RangeResponse {
	answer := wire.RangeResponse{Header: s.header()}
	if len(request.RangeEnd) == 0 {
		if kv, ok := s.entries[string(request.Key)]; ok {
			answer.KVs, answer.Count = []wire.KeyValue{kv}, 1
		}
		return answer
	}
	for _, kv := range s.entries {
		if within(kv.Key, request.Key, request.RangeEnd) {
			answer.KVs = append(answer.KVs, kv)
		}
	}
	slices.SortFunc(answer.KVs, func(a, b wire.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	answer.Count = wire.Int64(len(answer.KVs))
	if request.Limit > 0 && int(request.Limit) < len(answer.KVs) {
		answer.KVs, answer.More = answer.KVs[:request.Limit], true
	}
	return answer
}

func (s *state) header() wire.Header { return wire.Header{Revision: wire.Int64(s.revision)} }

// holds is a query: whether a comparison is true. A missing key has revision 0.
func (s *state) holds(compare wire.Compare) bool {
	kv := s.entries[string(compare.Key)]
	if compare.Target == wire.TargetCreate {
		return kv.CreateRevision == compare.CreateRevision
	}
	return kv.ModRevision == compare.ModRevision
}

// txn performs one branch of a transaction as one revision. The second result is false if a put names a lease that
// does not exist; nothing is written then.
func (s *state) txn(request wire.TxnRequest) (wire.TxnResponse, bool) {
	answer := wire.TxnResponse{Succeeded: true}
	for _, compare := range request.Compare {
		answer.Succeeded = answer.Succeeded && s.holds(compare)
	}
	branch := request.Failure
	if answer.Succeeded {
		branch = request.Success
	}
	for _, operation := range branch {
		if put := operation.Put; put != nil && put.Lease != 0 && s.leases[int64(put.Lease)] == nil {
			return wire.TxnResponse{}, false
		}
	}
	next := s.revision + 1
	var changes []wire.Event
	for _, operation := range branch {
		switch {
		case operation.Range != nil:
			read := s.get(*operation.Range)
			answer.Responses = append(answer.Responses, wire.OperationResponse{Range: &read})
			continue
		case operation.Put != nil:
			changes = append(changes, s.put(*operation.Put, next))
		case operation.Delete != nil:
			if event, ok := s.remove(string(operation.Delete.Key), next); ok {
				changes = append(changes, event)
			}
		}
		answer.Responses = append(answer.Responses, wire.OperationResponse{})
	}
	s.commit(changes)
	answer.Header = s.header()
	return answer, true
}

func (s *state) put(request wire.PutRequest, revision int64) wire.Event {
	key := string(request.Key)
	old, exists := s.entries[key]
	kv := wire.KeyValue{
		Key: request.Key, Value: request.Value, Lease: request.Lease, Version: old.Version + 1,
		CreateRevision: old.CreateRevision, ModRevision: wire.Int64(revision),
	}
	if !exists {
		kv.CreateRevision = wire.Int64(revision)
	}
	s.detach(old)
	if l := s.leases[int64(request.Lease)]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.entries[key] = kv
	return wire.Event{KV: kv}
}

func (s *state) remove(key string, revision int64) (wire.Event, bool) {
	old, exists := s.entries[key]
	if !exists {
		return wire.Event{}, false
	}
	s.detach(old)
	delete(s.entries, key)
	return wire.Event{Type: wire.EventDelete, KV: wire.KeyValue{Key: old.Key, ModRevision: wire.Int64(revision)}}, true
}

func (s *state) detach(kv wire.KeyValue) {
	if l := s.leases[int64(kv.Lease)]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// commit records changes under the next revision and passes them to the watches.
func (s *state) commit(changes []wire.Event) {
	if len(changes) == 0 {
		return
	}
	s.revision++
	s.history = append(s.history, changes...)
	if over := len(s.history) - maxHistory; over > 0 {
		s.compacted = int64(s.history[over-1].KV.ModRevision)
		s.history = slices.Clone(s.history[over:])
	}
	for w := range s.watchers {
		s.notify(w, changes)
	}
}

// notify passes changes to one watch and ends it if it does not keep up.
func (s *state) notify(w *watcher, changes []wire.Event) {
	var matching []wire.Event
	for _, change := range changes {
		if within(change.KV.Key, w.key, w.end) {
			matching = append(matching, change)
		}
	}
	if len(matching) == 0 {
		return
	}
	select {
	case w.events <- matching:
	default:
		s.endWatch(w)
	}
}

// startWatch adds a watch and passes it the changes since its start. It reports false if they are compacted.
func (s *state) startWatch(request wire.WatchCreate) (*watcher, bool) {
	from := int64(request.StartRevision)
	if from > 0 && from <= s.compacted {
		return nil, false
	}
	w := &watcher{key: request.Key, end: request.RangeEnd, events: make(chan []wire.Event, maxPending)}
	s.watchers[w] = struct{}{}
	if from > 0 {
		first, _ := slices.BinarySearchFunc(s.history, from, func(e wire.Event, revision int64) int {
			return int(int64(e.KV.ModRevision) - revision)
		})
		s.notify(w, s.history[first:])
	}
	return w, true
}

func (s *state) endWatch(w *watcher) {
	if _, ok := s.watchers[w]; ok {
		delete(s.watchers, w)
		close(w.events)
	}
}

func (s *state) endAllWatches() {
	for w := range s.watchers {
		s.endWatch(w)
	}
}

func (s *state) grant(request wire.GrantRequest, now time.Time) wire.LeaseResponse {
	s.lastLease++
	ttl := time.Duration(request.TTL) * time.Second
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]struct{}{}}
	return wire.LeaseResponse{Header: s.header(), ID: wire.Int64(s.lastLease), TTL: request.TTL}
}

// keepAlive renews a lease. The TTL of the answer is 0 if the lease does not exist.
func (s *state) keepAlive(id int64, now time.Time) wire.LeaseResponse {
	answer := wire.LeaseResponse{Header: s.header(), ID: wire.Int64(id)}
	if l := s.leases[id]; l != nil {
		l.expires = now.Add(l.ttl)
		answer.TTL = wire.Int64(l.ttl / time.Second)
	}
	return answer
}

// revoke ends a lease and deletes its keys as one revision. It reports whether the lease existed.
func (s *state) revoke(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	next := s.revision + 1
	var changes []wire.Event
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		if event, ok := s.remove(key, next); ok {
			changes = append(changes, event)
		}
	}
	delete(s.leases, id)
	s.commit(changes)
	return true
}

// expire revokes the leases whose time has passed.
func (s *state) expire(now time.Time) {
	if next, ok := s.nextExpiry(); !ok || now.Before(next) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expires) {
			s.revoke(id)
		}
	}
}

// nextExpiry is a query: the time of the next expiry, if there is a lease.
func (s *state) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, l := range s.leases {
		if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	return next, !next.IsZero()
}
