package platform

import (
	"context"
	"time"

	"sniperail.example/sniperail/internal/platform/wire"
	"sniperail.example/sniperail/internal/store"
)

// Store returns a store.Store that calls the service without HTTP and injects the same faults, so that tests of code that
// uses store.Store can run with a fake clock.
func (s *Service) Store() store.Store { return directStore{s} }

type directStore struct{ service *Service }

// Do performs one call. A call that was cancelled by ctx may still take effect later.
func (m directStore) Do(ctx context.Context, call store.Call) store.Result {
	results := make(chan store.Result, 1)
	go func() { results <- m.call(call) }()
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return lostResponse(call)
	}
}

func lostResponse(call store.Call) store.Result {
	if call.Kind.IsWrite() {
		return store.Result{Outcome: store.Unknown, Detail: "response lost"}
	}
	return store.Result{Outcome: store.Unavailable, Detail: "response lost"}
}

func (m directStore) call(call store.Call) store.Result {
	var result store.Result
	response := m.service.call(call.Kind, func(now time.Time) callResponse {
		result = m.service.state.execute(call, now)
		return callResponse{status: 200}
	})
	switch {
	case response.drop:
		return lostResponse(call)
	case response.status != 200:
		return store.Result{Outcome: store.Unavailable, Detail: response.body.(wire.Error).Text}
	}
	return result
}

// execute performs a call on the state.
func (s *state) execute(call store.Call, now time.Time) store.Result {
	result := store.Result{Outcome: store.Applied}
	switch call.Kind {
	case store.KindGet:
		result.Entries = toEntries(s.read(wire.RangeRequest{Key: []byte(call.Key)}).KVs)
	case store.KindList:
		result.Entries = toEntries(s.read(wire.RangeRequest{
			Key: []byte(call.Key), RangeEnd: wire.PrefixEnd(call.Key), Limit: wire.Int64(call.Limit),
		}).KVs)
	case store.KindTxn:
		result = s.executeTxn(call.Txn)
	case store.KindGrant:
		granted := s.grant(wire.GrantRequest{TTL: wire.Int64((call.TTL + time.Second - 1) / time.Second)}, now)
		result.Lease, result.TTL = store.LeaseID(granted.ID), time.Duration(granted.TTL)*time.Second
	case store.KindKeepAlive:
		renewed := s.keepAlive(int64(call.Lease), now)
		result.Lease, result.TTL = call.Lease, time.Duration(renewed.TTL)*time.Second
		if renewed.TTL == 0 {
			result.Outcome = store.NotFound
		}
	case store.KindRevoke:
		if !s.revoke(int64(call.Lease)) {
			result.Outcome = store.NotFound
		}
	}
	result.Revision = s.revision
	return result
}

func (s *state) executeTxn(txn store.Txn) store.Result {
	var request wire.TxnRequest
	for _, c := range txn.Compares {
		compare := wire.Compare{Key: []byte(c.Key), Target: wire.TargetMod, ModRevision: wire.Int64(c.ModRevision)}
		if c.UseCreate {
			compare.Target, compare.CreateRevision = wire.TargetCreate, wire.Int64(c.CreateRevision)
		}
		request.Compare = append(request.Compare, compare)
		request.Failure = append(request.Failure, wire.Operation{Range: &wire.RangeRequest{Key: compare.Key}})
	}
	for _, p := range txn.Puts {
		put := &wire.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: wire.Int64(p.Lease)}
		request.Success = append(request.Success, wire.Operation{Put: put})
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, wire.Operation{Delete: &wire.DeleteRequest{Key: []byte(key)}})
	}
	txnResponse, ok := s.txn(request)
	switch {
	case !ok:
		return store.Result{Outcome: store.NotFound, Detail: wire.MessageLeaseNotFound}
	case txnResponse.Succeeded:
		return store.Result{Outcome: store.Applied}
	}
	result := store.Result{Outcome: store.Conflict}
	for _, response := range txnResponse.Responses {
		result.Entries = append(result.Entries, toEntries(response.Range.KVs)...)
	}
	return result
}

func toEntry(kv wire.KeyValue) store.Entry {
	return store.Entry{
		Key: string(kv.Key), Value: kv.Value, CreateRevision: int64(kv.CreateRevision),
		ModRevision: int64(kv.ModRevision), Lease: store.LeaseID(kv.Lease),
	}
}

func toEntries(kvs []wire.KeyValue) []store.Entry {
	var entries []store.Entry
	for _, kv := range kvs {
		entries = append(entries, toEntry(kv))
	}
	return entries
}

// Watch delivers the changes of a key after a revision.
func (m directStore) Watch(ctx context.Context, key string, after int64) <-chan store.WatchEvent {
	events := make(chan store.WatchEvent)
	go func() {
		defer close(events)
		var w *watcher
		m.service.call(KindWatch, func(time.Time) callResponse {
			w, _ = m.service.state.startWatch(wire.WatchCreate{Key: []byte(key), StartRevision: wire.Int64(after + 1)})
			return callResponse{status: 200}
		})
		if w != nil {
			defer m.service.runInLoop(func(time.Time) { m.service.state.endWatch(w) })
			forward(ctx, w, events)
		}
		select {
		case events <- store.WatchEvent{Lost: true}:
		case <-ctx.Done():
		}
	}()
	return events
}

// forward sends the changes of a watcher to events until the service or ctx ends the watch.
func forward(ctx context.Context, w *watcher, events chan<- store.WatchEvent) {
	for {
		select {
		case changes, open := <-w.events:
			if !open {
				return
			}
			for _, change := range changes {
				select {
				case events <- store.WatchEvent{Entry: toEntry(change.KV), Deleted: change.Type == wire.EventDelete}:
				case <-ctx.Done():
					return
				}
			}
		case <-ctx.Done():
			return
		}
	}
}
