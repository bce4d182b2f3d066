package control_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/control"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
	"sniperail.example/sniperail/internal/store/storetest"
)

// scriptedCore is a core that records events and returns the effects that a test chooses.
type scriptedCore struct {
	events []effect.Event
	decide func(now time.Time, ev effect.Event) []effect.Effect
	next   time.Time
}

func (s *scriptedCore) Handle(now time.Time, ev effect.Event) []effect.Effect {
	s.events = append(s.events, ev)
	return s.decide(now, ev)
}

func (s *scriptedCore) NextWake() time.Time { return s.next }

// fakeStore is a store that never fails and whose watches deliver no events.
type fakeStore struct {
	mu     sync.Mutex
	memory *storetest.Memory
}

func (f *fakeStore) Do(_ context.Context, call store.Call) store.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memory.Do(call)
}

func (f *fakeStore) Watch(context.Context, string, int64) <-chan store.WatchEvent {
	return make(chan store.WatchEvent)
}

// fakePeers replies to every message after a delay.
type fakePeers struct{ delay time.Duration }

func (p fakePeers) Call(ctx context.Context, _ string, _ message.Request) message.Reply {
	select {
	case <-time.After(p.delay):
		return &message.WithholdReply{Code: message.Accepted}
	case <-ctx.Done():
		return nil
	}
}

type noCounters struct{}

func (noCounters) Add(string, string) {}

func withRunningLoop(t *testing.T, core *scriptedCore, test func(l *control.Loop)) {
	synctest.Test(t, func(*testing.T) {
		l := control.NewLoop(core, fakePeers{delay: 10 * time.Second}, &fakeStore{memory: storetest.NewMemory()}, zap.NewNop(), noCounters{})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { l.Run(ctx) })
		test(l)
		cancel()
		running.Wait()
	})
}

// Guards against a loop that is blocked by a slow peer or store: later events must be handled without delay.
func TestEffectsDoNotBlockTheLoop(t *testing.T) {
	is := is.New(t)
	core := &scriptedCore{}
	core.decide = func(_ time.Time, ev effect.Event) []effect.Effect {
		switch ev := ev.(type) {
		case effect.TargetChanged:
			return []effect.Effect{
				effect.Send{Request: 1, Body: &message.Withhold{}},
				effect.StoreCall{Request: 2, Call: store.Call{Kind: store.KindGet, Key: "k"}},
			}
		case effect.RequestReceived:
			return []effect.Effect{effect.Reply{Token: ev.Token, Body: &message.WithholdReply{Code: message.Stale}}}
		}
		return nil
	}
	withRunningLoop(t, core, func(l *control.Loop) {
		l.NotifyTargetChanged(context.Background(), model.TargetReady)
		started := time.Now()
		reply, ok := l.Handle(context.Background(), &message.Withhold{})
		is.True(ok)
		is.Equal(reply.(*message.WithholdReply).Code, message.Stale)
		is.Equal(time.Since(started), time.Duration(0)) // the peer takes 10 s
		time.Sleep(11 * time.Second)
		synctest.Wait()
		done := 0
		for _, ev := range core.events {
			switch ev := ev.(type) {
			case effect.SendDone:
				is.True(ev.Reply != nil)
				done++
			case effect.StoreDone:
				is.Equal(ev.Result.Outcome, store.Applied)
				done++
			}
		}
		is.Equal(done, 2) // the result of each effect was posted as an event
	})
}

// Guards against a call path that is blocked by a busy control loop: Observe must drop the batch and return false.
func TestObserveNeverBlocks(t *testing.T) {
	is := is.New(t)
	core := &scriptedCore{decide: func(time.Time, effect.Event) []effect.Effect { return nil }}
	l := control.NewLoop(core, fakePeers{}, &fakeStore{memory: storetest.NewMemory()}, zap.NewNop(), noCounters{})
	accepted := 0
	for range 1000 { // the loop does not run
		if l.Observe(nil) {
			accepted++
		}
	}
	is.True(accepted > 0 && accepted < 1000)
	is.True(l.Table() != nil)
}

// Guards against a loop that wakes the core when it has not asked for it, or not at the time that it asked for.
func TestWakesOnlyAtRequestedTimes(t *testing.T) {
	is := is.New(t)
	core := &scriptedCore{}
	var wakes []time.Time
	core.decide = func(now time.Time, ev effect.Event) []effect.Effect {
		if _, ok := ev.(effect.Wake); ok {
			wakes = append(wakes, now)
			core.next = time.Time{}
			if len(wakes) == 1 {
				core.next = now.Add(time.Minute)
			}
		}
		return nil
	}
	withRunningLoop(t, core, func(*control.Loop) { time.Sleep(time.Hour) })
	is.Equal(len(wakes), 2) // at the start and a minute later
	is.Equal(wakes[1].Sub(wakes[0]), time.Minute)
}

// Guards against a caller that waits forever when the core does not answer.
func TestSubmitEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	core := &scriptedCore{decide: func(time.Time, effect.Event) []effect.Effect { return nil }}
	withRunningLoop(t, core, func(l *control.Loop) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.Equal(l.Submit(ctx, "jana", struct{}{}).Code, model.OutcomeUnknown)
	})
}
