package platform

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/platform/wire"
)

// maxHistory bounds the number of changes kept for watches that start at a past revision. Older revisions are compacted.
const maxHistory = 10_000

// maxPendingBatches bounds the batches of changes queued for a slow watch. The service ends the watch when the queue is full.
const maxPendingBatches = 1024

// state is the data of the service. The loop goroutine owns it; methods take the time as an argument.
type state struct {
	revision    int64
	entries     map[string]wire.KeyValue
	leases      map[int64]*lease
	lastLeaseID int64
	// history contains the latest changes in the order of their revisions.
	history []wire.Event
	// compacted is the highest revision whose changes are no longer in the history.
	compacted int64
	watchers  map[*watcher]struct{}
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]struct{}
}

// watcher is an open watch on a range of keys. The loop closes events to end the watch.
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

// inRange reports whether a key lies in a range. An empty end means the single key start; a zero byte means no end.
func inRange(key, start, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, start)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, start) >= 0
	default:
		return bytes.Compare(key, start) >= 0 && bytes.Compare(key, end) < 0
	}
}

// read returns the entries of a range in the order of their keys. It changes nothing.
func (s *state) read(request wire.RangeRequest) wire.RangeResponse {
	response := wire.RangeResponse{Header: s.header()}
	if len(request.RangeEnd) == 0 {
		if kv, ok := s.entries[string(request.Key)]; ok {
			response.KVs, response.Count = []wire.KeyValue{kv}, 1
		}
		return response
	}
	for _, kv := range s.entries {
		if inRange(kv.Key, request.Key, request.RangeEnd) {
			response.KVs = append(response.KVs, kv)
		}
	}
	slices.SortFunc(response.KVs, func(a, b wire.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	response.Count = wire.Int64(len(response.KVs))
	if request.Limit > 0 && int(request.Limit) < len(response.KVs) {
		response.KVs, response.More = response.KVs[:request.Limit], true
	}
	return response
}

func (s *state) header() wire.Header { return wire.Header{Revision: wire.Int64(s.revision)} }

// compareHolds reports whether a comparison is true. A missing key has revision 0. It changes nothing.
func (s *state) compareHolds(compare wire.Compare) bool {
	kv := s.entries[string(compare.Key)]
	if compare.Target == wire.TargetCreate {
		return kv.CreateRevision == compare.CreateRevision
	}
	return kv.ModRevision == compare.ModRevision
}

// txn performs one branch of a transaction as one revision. The second result is false, and nothing is written, if a put
// uses a lease that does not exist.
func (s *state) txn(request wire.TxnRequest) (wire.TxnResponse, bool) {
	response := wire.TxnResponse{Succeeded: true}
	for _, compare := range request.Compare {
		response.Succeeded = response.Succeeded && s.compareHolds(compare)
	}
	branch := request.Failure
	if response.Succeeded {
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
			result := s.read(*operation.Range)
			response.Responses = append(response.Responses, wire.OperationResponse{Range: &result})
			continue
		case operation.Put != nil:
			changes = append(changes, s.put(*operation.Put, next))
		case operation.Delete != nil:
			if event, ok := s.remove(string(operation.Delete.Key), next); ok {
				changes = append(changes, event)
			}
		}
		response.Responses = append(response.Responses, wire.OperationResponse{})
	}
	s.commit(changes)
	response.Header = s.header()
	return response, true
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
	s.detachFromLease(old)
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
	s.detachFromLease(old)
	delete(s.entries, key)
	return wire.Event{Type: wire.EventDelete, KV: wire.KeyValue{Key: old.Key, ModRevision: wire.Int64(revision)}}, true
}

func (s *state) detachFromLease(kv wire.KeyValue) {
	if l := s.leases[int64(kv.Lease)]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// commit records changes under the next revision and notifies the watches.
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

// notify queues the changes in a watch's range for this watch and ends the watch if its queue is full.
func (s *state) notify(w *watcher, changes []wire.Event) {
	var matching []wire.Event
	for _, change := range changes {
		if inRange(change.KV.Key, w.key, w.end) {
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

// startWatch adds a watch and queues the changes since its start revision. It returns false if they are compacted.
func (s *state) startWatch(request wire.WatchCreate) (*watcher, bool) {
	from := int64(request.StartRevision)
	if from > 0 && from <= s.compacted {
		return nil, false
	}
	w := &watcher{key: request.Key, end: request.RangeEnd, events: make(chan []wire.Event, maxPendingBatches)}
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
	s.lastLeaseID++
	ttl := time.Duration(request.TTL) * time.Second
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: now.Add(ttl), keys: map[string]struct{}{}}
	return wire.LeaseResponse{Header: s.header(), ID: wire.Int64(s.lastLeaseID), TTL: request.TTL}
}

// keepAlive renews a lease. The TTL in the response is 0 if the lease does not exist.
func (s *state) keepAlive(id int64, now time.Time) wire.LeaseResponse {
	response := wire.LeaseResponse{Header: s.header(), ID: wire.Int64(id)}
	if l := s.leases[id]; l != nil {
		l.expiresAt = now.Add(l.ttl)
		response.TTL = wire.Int64(l.ttl / time.Second)
	}
	return response
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

// expire revokes the leases that have expired.
func (s *state) expire(now time.Time) {
	if next, ok := s.nextExpiry(); !ok || now.Before(next) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expiresAt) {
			s.revoke(id)
		}
	}
}

// nextExpiry returns the earliest time at which a lease expires, and false if there is no lease. It changes nothing.
func (s *state) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, l := range s.leases {
		if next.IsZero() || l.expiresAt.Before(next) {
			next = l.expiresAt
		}
	}
	return next, !next.IsZero()
}
