package control

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/store"
)

// perform performs one effect. I/O is done by a worker, so that the loop never waits for it.
func (l *Loop) perform(ctx context.Context, e effect.Effect) {
	switch e := e.(type) {
	case effect.Send:
		l.startWorker(func() {
			reply := l.peers.Call(ctx, e.Address, e.Body)
			l.post(ctx, effect.SendDone{Request: e.Request, Reply: reply})
		})
	case effect.StoreCall:
		l.startWorker(func() { l.callStore(ctx, e) })
	case effect.Watch:
		l.startWatch(ctx, e)
	case effect.Unwatch:
		l.stopWatch(e.Key)
	case effect.Publish:
		l.table.Store(routing.NextTable(l.table.Load(), e.View))
		if l.onPublish != nil {
			l.onPublish(e.View)
		}
	case effect.Confirm:
		l.confirmed.Store(int64(e.At))
	case effect.CheckHealth:
		l.startWorker(func() { l.post(ctx, l.checkHealth(ctx, e.Path)) })
	case effect.Reply:
		l.deliverAnswer(e.Token, e.Body)
	case effect.Answer:
		l.deliverAnswer(e.Token, e.Outcome)
	case effect.ReturnStatus:
		l.deliverAnswer(e.Token, e.Status)
	case effect.ReturnQuota:
		l.deliverAnswer(e.Token, e)
	case effect.Log:
		l.logger.Info(e.Event, zapFields(e.Fields)...)
	case effect.Count:
		l.counters.Add(e.Counter, e.Reason)
	default:
		panic(errors.Errorf("effect %T is not handled", e))
	}
}

func (l *Loop) startWorker(f func()) {
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		f()
	}()
}

func (l *Loop) callStore(ctx context.Context, e effect.StoreCall) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result := l.store.Do(callCtx, e.Call)
	l.post(ctx, effect.StoreDone{Request: e.Request, Result: result})
}

func (l *Loop) startWatch(ctx context.Context, e effect.Watch) {
	l.stopWatch(e.Key)
	watchCtx, cancel := context.WithCancel(ctx)
	l.watches[e.Key] = cancel
	events := l.store.Watch(watchCtx, e.Key, e.After)
	l.startWorker(func() { l.forwardEvents(watchCtx, e.Key, events) })
}

func (l *Loop) forwardEvents(ctx context.Context, key string, events <-chan store.WatchEvent) {
	for {
		select {
		case ev, ok := <-events:
			if !ok {
				return
			}
			l.post(ctx, effect.KeyChanged{Key: key, Event: ev})
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) stopWatch(key string) {
	if cancel, ok := l.watches[key]; ok {
		cancel()
		delete(l.watches, key)
	}
}

// deliverAnswer sends an answer to the goroutine that waits for it. The channel has a buffer of one, so the loop does not
// block if that goroutine no longer waits.
func (l *Loop) deliverAnswer(token effect.Token, value any) {
	answer, ok := l.pendingAnswers[token]
	if !ok {
		return
	}
	delete(l.pendingAnswers, token)
	answer <- value
}

func zapFields(fields []effect.Field) []zap.Field {
	out := make([]zap.Field, len(fields))
	for i, f := range fields {
		out[i] = zap.String(f.Key, f.Value)
	}
	return out
}
