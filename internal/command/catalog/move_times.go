package catalog

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// keepTimes gives the times of a move that was read from a record readings of this daemon's monotonic clock, so that later jumps of
// the time of day move none of its steps. Times that are known already stay as they are. A state that begins in the future was written
// by a daemon whose clock is ahead, and begins now.
func (c *Core) keepTimes(now time.Time, m *model.Rollout) {
	known := []*model.Rollout{c.driver.written}
	if r := c.moves[m.Service]; r != nil {
		known = append(known, &r.Rollout)
	}
	m.Steps = slices.Clone(m.Steps)
	ahead := max(m.Since.Sub(now), 0)
	for _, k := range known {
		if k != nil && k.ID == m.ID && k.Since.Equal(m.Since) {
			ahead = 0
		}
	}
	for i, t := range timesOf(m) {
		*t = localTime(now, *t, ahead, i, m.ID, known)
	}
}

// localTime returns a time of a move by this daemon's clock: the known time at the same place, or else the one that the record has
// reduced by the lead of its writer's clock.
func localTime(now, recorded time.Time, ahead time.Duration, place int, id model.PlanID, known []*model.Rollout) time.Time {
	if recorded.IsZero() {
		return recorded
	}
	for _, k := range known {
		if k == nil || k.ID != id {
			continue
		}
		if times := timesOf(k); place < len(times) && times[place].Equal(recorded) {
			return *times[place]
		}
	}
	return now.Add(recorded.Sub(now) - ahead)
}

// timesOf returns the times of a move in a fixed order.
func timesOf(m *model.Rollout) []*time.Time {
	times := make([]*time.Time, 0, 2+len(m.Steps))
	times = append(times, &m.Deadline, &m.Since)
	for i := range m.Steps {
		times = append(times, &m.Steps[i].Earliest)
	}
	return times
}
