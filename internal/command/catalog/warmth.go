package catalog

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// minWarmthShift is the shift of the end of a warm-up from which the view is published again. Reports of one warm-up differ by
// the time of their delivery.
const minWarmthShift = 20 * time.Millisecond

// setWarmth sets when the local target is warm, which its daemon needs to know exactly: the announcement to others may differ from it
// by warmTolerance.
func (c *Core) setWarmth(now time.Time, left time.Duration) {
	local := &c.local
	next := time.Time{}
	if left > 0 {
		next = now.Add(left)
	}
	if isCold := left > 0 || local.warmAt.After(now); isCold && next.Sub(local.warmAt).Abs() >= minWarmthShift {
		local.warmAt = next
		c.dirty = true
	}
}

// viewTarget returns the local target as this daemon's own traffic needs it.
func (l *localTarget) viewTarget() model.Target {
	t := l.target
	t.WarmAt = l.warmAt
	return t
}

// fullWarmup returns the time for which a target of the daemon's service is cold after its start, 0 if it tolerates any number of
// calls then. A target whose warmth is not known is assumed to be cold for as long, until its next report.
func (c *Core) fullWarmup() time.Duration {
	if s := c.configuration.Service(c.cfg.Target.Service); s != nil && s.WarmupPerSecond > 0 {
		return time.Duration(s.WarmupMS) * time.Millisecond
	}
	return 0
}
