package catalog

import (
	"slices"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// departureTTL is the time for which a departure is remembered. The record of a target that is gone stays on the platform for as
	// long.
	departureTTL = leaseTTL
	// maxDepartures bounds the departures that are remembered. A target starts every few seconds at most.
	maxDepartures = 8
	// refutingSpan is the time over which reports of a run that is taken for departed must arrive until they show that it runs.
	// Delayed reports were all sent before the run left, so they arrive over a time no longer than their delay, which is a few
	// seconds.
	refutingSpan = 8 * time.Second
)

// departure is a deregistration that named no start time, so that the run which sent it may have reported nothing yet. Reports of
// the run that arrive later are recognised by it, without a comparison with the record of another run.
type departure struct {
	model.Departure
	expiresAt time.Time
	// refusedBorn is the latest start time among the runs whose reports were refused, refusedSeq the highest sequence of that run,
	// and refusedSince when its first report was refused; zero before.
	refusedBorn  int64
	refusedSeq   uint64
	refusedSince time.Time
}

// refuse records a refused report.
func (d *departure) refuse(now time.Time, r *model.TargetReport) {
	if d.refusedSince.IsZero() || r.Born > d.refusedBorn {
		d.refusedBorn, d.refusedSeq, d.refusedSince = r.Born, r.Seq, now
	}
	if r.Born == d.refusedBorn {
		d.refusedSeq = max(d.refusedSeq, r.Seq)
	}
}

// isRefutedBy reports whether a report shows that its run did not send the deregistration, because it has kept on reporting since.
func (d *departure) isRefutedBy(now time.Time, r *model.TargetReport) bool {
	return r.Born == d.refusedBorn && r.Seq > d.refusedSeq && now.Sub(d.refusedSince) >= refutingSpan
}

// departureOf returns the departure that covers the run of a report, or nil.
func (l *localTarget) departureOf(now time.Time, r *model.TargetReport) *departure {
	for i := range l.departures {
		if d := &l.departures[i]; d.Covers(r) && now.Before(d.expiresAt) {
			return d
		}
	}
	return nil
}

// addDeparture remembers a departure in place of an earlier one under the same name, and drops those that have expired.
func (l *localTarget) addDeparture(now time.Time, added model.Departure) {
	l.departures = slices.DeleteFunc(l.departures, func(d departure) bool {
		return d.Instance == added.Instance || !now.Before(d.expiresAt)
	})
	if len(l.departures) == maxDepartures {
		l.departures = slices.Delete(l.departures, 0, 1)
	}
	l.departures = append(l.departures, departure{Departure: added, expiresAt: now.Add(departureTTL)})
}

// removeDeparture forgets the departures of runs of this name.
func (l *localTarget) removeDeparture(instance model.InstanceID) {
	l.departures = slices.DeleteFunc(l.departures, func(d departure) bool { return d.Instance == instance })
}

// recordedDepartures returns the departures that the record of the target holds for the next process of this daemon.
func (l *localTarget) recordedDepartures(now time.Time) []model.Departure {
	var recorded []model.Departure
	for i := range l.departures {
		if now.Before(l.departures[i].expiresAt) {
			recorded = append(recorded, l.departures[i].Departure)
		}
	}
	return recorded
}

// mergeDepartures adds the departures that an earlier process of this daemon has recorded, and reports whether one was not known.
func (l *localTarget) mergeDepartures(now time.Time, recorded []model.Departure) (added bool) {
	for _, d := range recorded {
		if !slices.ContainsFunc(l.departures, func(o departure) bool { return o.Includes(d) }) {
			l.addDeparture(now, d)
			added = true
		}
	}
	return added
}

// addedDepartures returns the departures that a record lacks.
func addedDepartures(record *model.TargetRecord, departures []model.Departure) []model.Departure {
	var added []model.Departure
	for _, d := range departures {
		if !slices.ContainsFunc(record.Departures, func(o model.Departure) bool { return o.Includes(d) }) {
			added = append(added, d)
		}
	}
	return added
}

// hasUnstoredDeparture reports whether the platform does not hold the latest departure.
func (l *localTarget) hasUnstoredDeparture(now time.Time) bool {
	return l.storedSequence < l.departureSequence && len(l.recordedDepartures(now)) > 0
}

// applyDepartedReport refuses a report of a run that has departed, or takes the run back into service if it keeps on reporting.
func (c *Core) applyDepartedReport(now time.Time, d *departure, r *model.TargetReport) {
	if !d.isRefutedBy(now, r) {
		d.refuse(now, r)
		c.logLateReport(r)
		return
	}
	local := &c.local
	c.log("departure-refuted", "instance", string(r.Instance), "seq", strconv.FormatUint(r.Seq, 10),
		"reports_since", d.refusedSince.UTC().Format(time.RFC3339Nano))
	local.removeDeparture(r.Instance)
	if local.earlier != nil && local.earlier.Instance == r.Instance {
		local.earlier = nil
	}
	c.acceptReport(now, r)
}

// takeBackDeparted takes the target out of service if its run has departed by what an earlier process has recorded.
func (c *Core) takeBackDeparted(now time.Time) {
	r := c.local.report
	if r == nil || r.State != model.TargetReady || c.local.departureOf(now, r) == nil {
		return
	}
	c.log("report-taken-back", "instance", string(r.Instance), "state", string(model.TargetGone))
	c.setGone(now, r)
}

// applyShutdownReport marks the run that reports its shutdown as gone.
func (c *Core) applyShutdownReport(now time.Time, r *model.TargetReport) {
	last := c.local.lastReport()
	switch {
	case r.Born == 0:
		c.applyUndatedShutdown(now, r)
	case last != nil && r.Instance == last.Instance && r.Born == last.Born:
		if last.State != model.TargetGone {
			c.setGone(now, last)
		}
	case last != nil && r.Born <= last.Born:
		c.logLateReport(r) // of an earlier run
	default:
		c.setGone(now, r)
	}
}

// applyUndatedShutdown processes a deregistration without a start time. Only its name says which run has sent it: the latest one that
// has reported, one whose reports have not arrived yet, or an earlier one. So it ends the latest run only if the name is the same,
// and any other run by a departure.
func (c *Core) applyUndatedShutdown(now time.Time, r *model.TargetReport) {
	local := &c.local
	local.addDeparture(now, model.Departure{Instance: r.Instance, BornBy: now.UnixMilli()})
	local.departureSequence = local.target.Sequence + 1
	last := local.lastReport()
	switch {
	case last != nil && r.Instance == last.Instance && (last.State != model.TargetGone || local.report == nil):
		c.setGone(now, last)
		return
	case local.report == nil:
		// The record must name a run. This one gets the lowest start time that is possible, so that no report of another is late.
		unreported := *r
		if last != nil {
			unreported.Born = last.Born
		}
		c.setGone(now, &unreported)
		return
	}
	c.log("unknown-run-departed", "instance", string(r.Instance), "present", string(local.target.Instance),
		"present_state", string(local.target.State))
	local.target.Sequence++
	local.scheduleRecordShare(now)
	c.dirty = true
}

// setGone marks the run of a report as gone.
func (c *Core) setGone(now time.Time, r *model.TargetReport) {
	gone := *r
	gone.State = model.TargetGone
	c.local.report = &gone
	next := c.local.target
	next.Instance, next.Born, next.State, next.DaemonEnds = gone.Instance, gone.Born, model.TargetGone, false
	c.setLocalTarget(now, next)
}
