package traffic

import (
	"net/http"
	"strings"
	"time"
)

// recordStatement takes over what a run of the target says of itself in the response to a call that was sent at the given time.
func (c *inboundCall) recordStatement(run targetRun, h http.Header, sent time.Time) {
	in := c.inbound
	s := parseTargetStatement(in.options.Headers, h)
	changed := in.queue.recordStatement(run, s, sent)
	if changed || s.invalid {
		text := strings.Join(h.Values(in.options.Headers.TargetRateLimit), ", ")
		if changed || in.isNewInvalidLimit(text) {
			in.options.Log.RateLimit(c.request, run, s, text)
		}
	}
	if s.leaving {
		c.recordLeaving(run)
	}
}

// recordLeaving takes the target out of service if the run that is leaving is the present one.
func (c *inboundCall) recordLeaving(run targetRun) {
	in := c.inbound
	if !in.leaving.add(run) {
		return
	}
	in.options.Log.TargetLeaving(c.request, run)
	in.targetMu.Lock()
	in.setTarget(*in.target.Load(), *in.conditions.Load())
	in.targetMu.Unlock()
	in.unreported.Store(&run)
}

// reportLeaving offers the run that is leaving to the option Leaving, until it is taken.
func (in *Inbound) reportLeaving() {
	run := in.unreported.Load()
	if run != nil && (in.options.Leaving == nil || in.options.Leaving(run.instance, run.born)) {
		in.unreported.CompareAndSwap(run, nil)
	}
}

// isNewInvalidLimit reports whether a rate limit that cannot be read differs from the previous one.
func (in *Inbound) isNewInvalidLimit(text string) bool {
	previous := in.invalidLimit.Swap(&text)
	return previous == nil || *previous != text
}

// recordFailure updates the smoothed fraction of failed calls.
func (in *Inbound) recordFailure(failed bool) {
	sample := int64(0)
	if failed {
		sample = 1_000_000
	}
	old := in.failureRate.Load()
	// Concurrent calls may overwrite each other; one lost sample does not matter.
	in.failureRate.Store(old + (sample-old)/failureWeight)
}
