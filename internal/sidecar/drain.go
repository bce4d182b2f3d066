package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/process"
)

const (
	// drainNotice is the time for which a draining daemon keeps its listeners open, so that callers learn that it is not
	// ready.
	drainNotice = 2300 * time.Millisecond
	// targetDrainNotice is the first part of drainNotice, during which the target still accepts calls from other daemons. In
	// the rest of it, the other daemons learn that the target accepts no more calls.
	targetDrainNotice = 1500 * time.Millisecond
	// exitMargin is the time reserved between the end of a drain and the end of the grace period, when the process is killed.
	exitMargin = 700 * time.Millisecond
	// lastAnswerMargin is the time between the deadline of the last requests and the end of the drain. In it, the requests that
	// are still running then are answered.
	lastAnswerMargin = 100 * time.Millisecond
	// ingressStopTime is the time reserved for the stop of the ingress, which begins when no call of another daemon runs at the target.
	ingressStopTime = time.Second
	// responseFlushTimeout bounds the time for writing the last responses, and for closing connections on which no request came.
	responseFlushTimeout = 500 * time.Millisecond
)

// drain takes the daemon out of service. Calls in flight may finish until exitMargin before the end of the grace period.
func (d *Sidecar) drain(ctx context.Context) {
	started := time.Now()
	d.logger.Info("stopping", zap.Int("requests", d.outbound.InFlight()), zap.Int("calls", d.inbound.InFlight()))
	d.draining.Store(true)
	drained := started.Add(d.settings.Grace - exitMargin)
	d.outbound.StopAt(drained.Add(-lastAnswerMargin))
	d.ingress.Drain()
	targetNotice, notice := drainNotices(d.settings.Grace)
	process.Wait(ctx, targetNotice)
	d.loop.NotifyStopping(ctx)
	process.Wait(ctx, notice-targetNotice)
	d.takeTargetCalls(ctx, drained.Add(-ingressStopTime))
	d.ingress.StopReading()
	d.ingress.StopAccepting()
	limited, cancel := context.WithDeadline(ctx, drained)
	defer cancel()
	answer := time.AfterFunc(time.Until(drained.Add(-lastAnswerMargin)), func() { d.cutCalls(started) })
	defer answer.Stop()
	_ = d.ingress.Wait(limited) // what is still in flight was logged by cutCalls
	_ = d.inbound.Wait(limited)
	if d.ingress.WaitClosed(limited) != nil {
		d.logger.Info("stopping-unread", zap.Int64("after_ms", time.Since(started).Milliseconds()))
	}
	d.closeServers(ctx)
}

// cutCalls logs the requests in flight that the end of the drain cuts, and answers those of callers of this daemon.
func (d *Sidecar) cutCalls(started time.Time) {
	requests, calls := d.outbound.InFlight(), d.inbound.InFlight()
	if requests+calls > 0 {
		d.logger.Warn("stopping-cuts", zap.Int("requests", requests), zap.Int("calls", calls),
			zap.Int64("after_ms", time.Since(started).Milliseconds()))
		d.outbound.LogOpen()
		d.inbound.LogOpen()
	}
	d.outbound.CancelCalls()
}

// closeServers closes all servers. Their handlers have returned, but a process without processor time may not have written the last
// responses yet, so it waits for that.
func (d *Sidecar) closeServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, responseFlushTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range d.servers {
		group.Go(func() {
			if h, ok := s.http.(*http.Server); ok {
				_ = h.Shutdown(ctx) // what it has not closed is closed next
			}
			_ = s.http.Close()
		})
	}
	group.Wait()
}

// takeTargetCalls keeps the ingress open while the target works on calls of other daemons: it may need calls of its own for them. Other
// callers have been told to leave; of what they still send, only requests that end before the drain are taken.
func (d *Sidecar) takeTargetCalls(ctx context.Context, until time.Time) {
	d.outbound.RefuseLong()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	_ = d.inbound.WaitIdle(ctx) // a call that runs longer is waited for, but its target cannot make calls any more
}

// drainNotices returns targetDrainNotice and drainNotice, or shorter times that leave half of a short grace period for the requests
// that still run.
func drainNotices(grace time.Duration) (target, all time.Duration) {
	all = min(drainNotice, (grace-exitMargin)/2)
	return all * targetDrainNotice / drainNotice, all
}
