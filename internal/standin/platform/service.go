// Package platform is an in-memory stand-in for the platform's key-value service. It serves the subset of the etcd v3
// JSON-over-HTTP API that sniperail uses, counts and limits calls, and injects faults. One goroutine owns the state; HTTP
// handlers send it functions to run and wait until they have ended.
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
	state           *state
	meter           *callMeter
	down            DownMode
	delay           time.Duration
	responsesToLose int
}

// callResponse is what the caller of a call receives.
type callResponse struct {
	// drop closes the connection without a response.
	drop   bool
	status int
	body   any
}

// Start starts the service. Its loop ends with ctx.
func Start(ctx context.Context, limits Limits) *Service {
	s := &Service{
		operations: make(chan func(time.Time)), stopped: make(chan struct{}),
		state: newState(), meter: newMeter(limits),
	}
	go s.run(ctx)
	return s
}

// Stopped returns a channel that is closed when the loop has ended.
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

// runInLoop runs an operation in the loop goroutine and waits until it has ended. It returns false if the loop has ended.
func (s *Service) runInLoop(operation func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case s.operations <- func(now time.Time) { defer close(done); operation(now) }:
		<-done
		return true
	case <-s.stopped:
		return false
	}
}

// call performs one call with the current faults and limits. The effect runs after the delay even if the caller has
// cancelled the call: a late effect of a call that timed out is one of the injected faults.
func (s *Service) call(kind store.Kind, effect func(now time.Time) callResponse) callResponse {
	response := callResponse{drop: true}
	var delay time.Duration
	if !s.runInLoop(func(time.Time) { delay = s.delay }) {
		return response
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.stopped:
			return response
		}
	}
	s.runInLoop(func(now time.Time) { response = s.perform(kind, effect, now) })
	return response
}

func (s *Service) perform(kind store.Kind, effect func(now time.Time) callResponse, now time.Time) callResponse {
	allowed := s.meter.admit(kind, now)
	switch {
	case s.down == DownDrop:
		s.meter.dropped++
		return callResponse{drop: true}
	case s.down == DownRefuse:
		return errorResponse(503, wire.CodeUnavailable, wire.MessageNoLeader)
	case !allowed:
		return errorResponse(429, wire.CodeResourceExhausted, wire.MessageTooMany)
	}
	response := effect(now)
	if s.responsesToLose > 0 && isWrite(kind) {
		s.responsesToLose--
		s.meter.dropped++
		return callResponse{drop: true}
	}
	return response
}

func errorResponse(status, code int, message string) callResponse {
	return callResponse{status: status, body: wire.Error{Text: message, Code: code, Message: message}}
}

// SetFaults changes the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.runInLoop(func(time.Time) {
		if faults.Down != nil {
			s.down = *faults.Down
		}
		if faults.SlowMS != nil {
			s.delay = time.Duration(*faults.SlowMS) * time.Millisecond
		}
		if faults.LoseAnswers != nil {
			s.responsesToLose = *faults.LoseAnswers
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
	s.runInLoop(func(time.Time) {
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
