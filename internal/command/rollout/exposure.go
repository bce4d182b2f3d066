package rollout

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// ExposureLimit bounds the calls that a version may receive before it is known to be good. Of the calls that its service
// receives between the start of the move and the deadline, the version may receive Fraction, and Slack calls more.
type ExposureLimit struct {
	Fraction float64
	Slack    float64
}

// rateDecay is the weight of earlier rounds in the moving average of the call rate; the half-life is about three rounds.
const rateDecay = 0.8

// exposure counts the calls that the new version of a move has received, and estimates how many it may receive.
type exposure struct {
	limit ExposureLimit
	// calls and failures are those of the new version since its move began. A driver that takes over receives them with the
	// first reports, which count from the start of each daemon.
	calls, failures int
	// rate and newRate are the calls per second of the service and of the new version.
	rate, newRate float64
	// rounds is the number of rounds with a measured rate.
	rounds int
}

// observeRound adds the reports of one round.
func (e *exposure) observeRound(m *model.Rollout, observations []Observation) {
	var rate, newRate float64
	measured := false
	for i := range observations {
		o := &observations[i]
		calls := 0
		for j := range o.Sums {
			s := &o.Sums[j]
			calls += int(s.Calls)
			if s.Version == m.To {
				e.calls += int(s.Calls)
				e.failures += int(s.Failures)
			}
		}
		if o.Window <= 0 {
			continue
		}
		measured = true
		perSecond := float64(calls) / o.Window.Seconds()
		rate += perSecond
		if o.Target.Version == m.To {
			newRate += perSecond
		}
	}
	if !measured {
		return
	}
	weight := rateDecay
	if e.rounds == 0 {
		weight = 0
	}
	e.rounds++
	e.rate = weight*e.rate + (1-weight)*rate
	e.newRate = weight*e.newRate + (1-weight)*newRate
}

// allowed estimates the calls that the new version may receive between the start of its move and the deadline.
func (e *exposure) allowed(m *model.Rollout) float64 {
	if len(m.Steps) == 0 {
		return e.limit.Slack
	}
	return e.limit.Fraction*e.rate*m.Deadline.Sub(m.Steps[0].Earliest).Seconds() + e.limit.Slack
}

// reactionTime is the time from the calls that prove a fault until the version receives no more: they are reported, and the
// withdrawal reaches all daemons.
const reactionTime = 700 * time.Millisecond

// isExhausted reports whether the new version will have received all calls that it may receive before a withdrawal that is
// decided now is in force.
func (e *exposure) isExhausted(m *model.Rollout) bool {
	return e.rounds > 0 && float64(e.calls)+e.newRate*reactionTime.Seconds() >= e.allowed(m)
}

// Progress describes the new version of a move for logs and reports.
type Progress struct {
	// Calls and Failures are those of the new version since its move began, Allowed the calls that it may receive before it
	// is known to be good.
	Calls, Failures, Allowed int
	// Rate and NewRate are the calls per second of the service and of the new version.
	Rate, NewRate float64
	// Busiest is the largest fraction of its slots that a target of the new version uses, and OldBusiest that of the others.
	Busiest, OldBusiest float64
}

// Progress returns the progress of a move, given the latest report of each target.
func (d *Driver) Progress(now time.Time, m *model.Rollout, observations []Observation) Progress {
	e := &d.exposure
	p := Progress{
		Calls: e.calls, Failures: e.failures, Allowed: int(e.allowed(m)), Rate: e.rate, NewRate: e.newRate,
	}
	for i := range observations {
		o := &observations[i]
		if !o.isRecent(now) {
			continue
		}
		used := float64(o.Running) / float64(max(o.Target.Slots, 1))
		if o.Target.Version == m.To {
			p.Busiest = max(p.Busiest, used)
		} else {
			p.OldBusiest = max(p.OldBusiest, used)
		}
	}
	return p
}
