package control

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/store"
)

// perform carries out one effect. I/O goes to a worker, so that the loop never waits for it.
func (l *Loop) perform(ctx context.Context, e effect.Effect) {
	switch e := e.(type) {
	case effect.Send:
		l.work(func() {
			reply := l.peers.Call(ctx, e.Address, e.Body)
			l.post(ctx, effect.SendDone{Request: e.Request, Reply: reply})
		})
	case effect.StoreCall:
		l.work(func() { l.callStore(ctx, e) })
	case effect.Watch:
		l.watch(ctx, e)
	case effect.Unwatch:
		l.unwatch(e.Key)
	case effect.Publish:
		l.table.Store(routing.NextTable(l.table.Load(), e.View))
		if l.published != nil {
			l.published(e.View)
		}
	case effect.CheckHealth:
		l.work(func() { l.post(ctx, effect.HealthChecked{Instance: l.askTarget(ctx, e.Path)}) })
	case effect.Reply:
		l.answer(e.Token, e.Body)
	case effect.Answer:
		l.answer(e.Token, e.Outcome)
	case effect.ReturnStatus:
		l.answer(e.Token, e.Status)
	case effect.Log:
		l.logger.Info(e.Event, zapFields(e.Fields)...)
	case effect.Count:
		l.counters.Add(e.Counter, e.Reason)
	default:
		panic(errors.Errorf("effect %T is not handled", e))
	}
}

func (l *Loop) work(f func()) {
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

func (l *Loop) watch(ctx context.Context, e effect.Watch) {
	l.unwatch(e.Key)
	watchCtx, cancel := context.WithCancel(ctx)
	l.watches[e.Key] = cancel
	events := l.store.Watch(watchCtx, e.Key, e.After)
	l.work(func() { l.follow(watchCtx, e.Key, events) })
}

func (l *Loop) follow(ctx context.Context, key string, events <-chan store.WatchEvent) {
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

func (l *Loop) unwatch(key string) {
	if cancel, ok := l.watches[key]; ok {
		cancel()
		delete(l.watches, key)
	}
}

// answer hands a value to the goroutine that waits for it. The channel holds one value, so the loop never blocks on a
// goroutine that has given up.
func (l *Loop) answer(token effect.Token, value any) {
	waiting, ok := l.pending[token]
	if !ok {
		return
	}
	delete(l.pending, token)
	waiting <- value
}

func zapFields(fields []effect.Field) []zap.Field {
	out := make([]zap.Field, len(fields))
	for i, f := range fields {
		out[i] = zap.String(f.Key, f.Value)
	}
	return out
}
