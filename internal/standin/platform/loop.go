// Package platform is an in-memory stand-in for the platform's key-value service. It serves the subset of the etcd v3
// JSON-over-HTTP API that sniperail uses, counts and limits calls, and shows faults on request. One goroutine owns the
// state; HTTP handlers pass it functions and wait for their result.
package platform

import (
	"context"
	"runtime"
	"time"

	"sniperail.example/sniperail/internal/platform/wire"
	"sniperail.example/sniperail/internal/store"
)

// Service is a running stand-in.
type Service struct {
	operations chan func(now time.Time)
	stopped    chan struct{}

	// The loop goroutine owns these fields.
	state  *state
	meter  *meter
	down   DownMode
	slow   time.Duration
	losing int
}

// reply says what the caller of a call sees.
type reply struct {
	// drop closes the connection without an answer.
	drop   bool
	status int
	body   any
}

// Start runs the loop until ctx ends.
func Start(ctx context.Context, limits Limits) *Service {
	s := &Service{
		operations: make(chan func(time.Time)), stopped: make(chan struct{}),
		state: newState(), meter: newMeter(limits),
	}
	go s.run(ctx)
	return s
}

// Stopped is closed when the loop has ended.
func (s *Service) Stopped() <-chan struct{} { return s.stopped }

func (s *Service) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(s.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if at, ok := s.state.nextExpiry(); ok {
			wait = max(0, time.Until(at))
		}
		timer.Reset(wait)
		select {
		case operation := <-s.operations:
			now := time.Now()
			s.state.expire(now)
			operation(now)
		case <-timer.C:
			s.state.expire(time.Now())
		case <-ctx.Done():
			s.state.endAllWatches()
			return
		}
	}
}

// do runs an operation in the loop and waits for its end. It reports false if the loop has ended.
func (s *Service) do(operation func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case s.operations <- func(now time.Time) { defer close(done); operation(now) }:
		<-done
		return true
	case <-s.stopped:
		return false
	}
}

// serve performs one call with the present faults and limits. The effect runs after the delay, even if the caller has
// gone: a late effect of a call that timed out is one of the faults to show.
func (s *Service) serve(kind store.Kind, effect func(now time.Time) reply) reply {
	answer := reply{drop: true}
	var slow time.Duration
	if !s.do(func(time.Time) { slow = s.slow }) {
		return answer
	}
	if slow > 0 {
		timer := time.NewTimer(slow)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.stopped:
			return answer
		}
	}
	s.do(func(now time.Time) { answer = s.perform(kind, effect, now) })
	return answer
}

func (s *Service) perform(kind store.Kind, effect func(now time.Time) reply, now time.Time) reply {
	allowed := s.meter.admit(kind, now)
	switch {
	case s.down == DownDrop:
		s.meter.dropped++
		return reply{drop: true}
	case s.down == DownRefuse:
		return failure(503, wire.CodeUnavailable, wire.MessageNoLeader)
	case !allowed:
		return failure(429, wire.CodeResourceExhausted, wire.MessageTooMany)
	}
	answer := effect(now)
	if s.losing > 0 && isWrite(kind) {
		s.losing--
		s.meter.dropped++
		return reply{drop: true}
	}
	return answer
}

func failure(status, code int, message string) reply {
	return reply{status: status, body: wire.Error{Text: message, Code: code, Message: message}}
}

// SetFaults changes the faults that the service shows.
func (s *Service) SetFaults(faults Faults) {
	s.do(func(time.Time) {
		if faults.Down != nil {
			s.down = *faults.Down
		}
		if faults.SlowMS != nil {
			s.slow = time.Duration(*faults.SlowMS) * time.Millisecond
		}
		if faults.LoseAnswers != nil {
			s.losing = *faults.LoseAnswers
		}
		if faults.LapseLease != 0 {
			s.state.revoke(faults.LapseLease)
		}
		if faults.LapseKey != "" {
			s.state.revoke(int64(s.state.entries[faults.LapseKey].Lease))
		}
		if faults.EndWatches || s.down != Up {
			s.state.endAllWatches()
		}
	})
}

// Counts returns the counts so far.
func (s *Service) Counts() Counts {
	var counts Counts
	s.do(func(time.Time) {
		m := s.meter
		counts = Counts{
			Calls: map[store.Kind]int64{}, Refused: m.refused, Dropped: m.dropped, OpenWatches: len(s.state.watchers),
			Keys: len(s.state.entries), Leases: len(s.state.leases), PeakWrites: m.peakWrites, PeakReads: m.peakReads,
			Revision: s.state.revision,
		}
		for kind, n := range m.calls {
			counts.Calls[kind] = n
		}
	})
	return counts
}
