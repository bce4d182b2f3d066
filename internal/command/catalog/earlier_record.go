package catalog

import (
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// askAgainDelay is the time after which neighbours that are learning of a restore of the store are asked again for the record of an earlier
// process.
const askAgainDelay = 100 * time.Millisecond

// lastReport returns the latest report that this process or, before its first report, an earlier one has accepted; nil if
// there is none.
func (l *localTarget) lastReport() *model.TargetReport {
	if l.report == nil && l.earlier != nil {
		return l.earlier.LastReport()
	}
	return l.report
}

// isLate reports whether a report was sent before one that this process has accepted, or contradicts what an earlier one has
// recorded.
func (l *localTarget) isLate(r *model.TargetReport) bool {
	return l.report != nil && r.LateAfter(l.report) || l.earlier != nil && contradicts(r, l.earlier)
}

// contradicts reports whether a report was sent before the record was written and says something else: it comes from an earlier
// run, or from the recorded run before that was draining or gone.
func contradicts(r *model.TargetReport, earlier *model.TargetRecord) bool {
	last := earlier.LastReport()
	if r.Instance == last.Instance && r.Born == last.Born && last.State == model.TargetReady {
		return false
	}
	return r.LateAfter(last)
}

// knowsEarlierRecord reports whether this daemon knows what its earlier processes have recorded. When all daemons start for the first
// time, there is nothing. After a restore, the platform may hold an earlier record than peers; while it is away, so may a peer that was
// cut off, and both neighbours are asked. A daemon that nobody answers waits: it has no configuration either.
func (c *Core) knowsEarlierRecord() bool {
	switch {
	case c.cfg.FirstStart:
		return true
	case !c.meshKeys.loaded:
		return false
	case c.meshKeys.fetched && c.knowsPeers():
		return true
	}
	return c.local.askedPeers && c.local.peersPending == 0
}

// holdReport keeps a report until this daemon knows what its earlier processes have recorded. They may have acknowledged that the
// run is leaving.
func (c *Core) holdReport(r *model.TargetReport) {
	local := &c.local
	if local.held == nil || r.Newer(local.held) {
		local.held = r
	}
}

// askForEarlierRecord asks the neighbours in the order of names, once this daemon knows them. Their answers end the wait also if they have
// just started themselves and know nothing, as after a loss of power everywhere. A neighbour that is learning of a restore of the store
// is asked again.
func (c *Core) askForEarlierRecord(now time.Time) {
	local := &c.local
	if !c.meshKeys.loaded || local.askedPeers || now.Before(local.askPeersAt) {
		return
	}
	local.askedPeers = true
	if len(c.members) == 0 {
		return
	}
	for _, address := range c.neighbourAddresses() {
		local.peersPending++
		c.queryCatalogReply(address, c.configurationNumber(), func(now time.Time, reply *message.CatalogReply) {
			local.peersPending--
			if c.isRenewing(reply) {
				local.askedPeers, local.askPeersAt = false, now.Add(askAgainDelay)
			}
		})
	}
}

// applyHeldReport applies the held report once this daemon knows what its earlier processes have recorded.
func (c *Core) applyHeldReport(now time.Time) {
	local := &c.local
	if local.held == nil {
		return
	}
	if !c.knowsEarlierRecord() {
		c.askForEarlierRecord(now)
		return
	}
	r := local.held
	local.held = nil
	c.applyReport(now, r)
}

func (c *Core) logLateReport(r *model.TargetReport) {
	last := c.local.lastReport()
	c.log("report-late", "instance", string(r.Instance), "state", string(r.State), "seq", strconv.FormatUint(r.Seq, 10),
		"last_instance", string(last.Instance), "last_state", string(last.State), "last_seq", strconv.FormatUint(last.Seq, 10))
}

// handleEarlierRecord keeps the record of an earlier process of this daemon. A report that was accepted before the record was
// known, and proves to be late, is taken back.
func (c *Core) handleEarlierRecord(now time.Time, earlier *model.TargetRecord) {
	local := &c.local
	if local.mergeDepartures(now, earlier.Departures) {
		local.storedSequence = 0 // the platform may not hold them
	}
	c.takeBackDeparted(now)
	if isSuperseded(earlier, local.earlier) {
		return
	}
	local.earlier = earlier
	if earlier.Leaving && earlier.Born >= local.leavingBorn {
		local.leaving, local.leavingBorn = earlier.Instance, earlier.Born
	}
	r := local.report
	if r == nil || r.State != model.TargetReady || local.target.State == model.TargetGone {
		return
	}
	next := local.target
	last := earlier.LastReport()
	switch {
	case r.Instance == earlier.Instance && r.Born == earlier.Born && earlier.Leaving:
		next.State = model.TargetDraining
	case !contradicts(r, earlier) || last.State == model.TargetReady:
		return
	default:
		local.report = last
		next.State = last.State
	}
	next.DaemonEnds = false
	c.log("report-taken-back", "instance", string(r.Instance), "state", string(next.State))
	c.setLocalTarget(now, next)
}

// compareStoredTarget compares the announcement that the platform holds for the local target, nil if there is none, with the
// one that this daemon wrote last. They differ after a restart of this daemon, a delayed write, or the end of the lease; the
// announcement is then written again.
func (c *Core) compareStoredTarget(now time.Time, stored *model.TargetRecord) {
	local := &c.local
	if stored != nil && stored.Incarnation == local.target.Incarnation && stored.Sequence == local.storedSequence {
		return
	}
	if stored != nil && stored.Incarnation != local.target.Incarnation {
		if !local.restarted {
			local.restarted = true
			c.quotas.unlisted = stored.State == model.TargetGone
		}
		if stored.Incarnation > local.target.Incarnation {
			// The clock was set back since the earlier process started. Peers would take its records for later ones.
			local.target.Incarnation = stored.Incarnation + 1
		}
		if local.report == nil && !local.healthChecked {
			local.previous = stored
		}
		c.handleEarlierRecord(now, stored)
	}
	if local.report != nil && (stored != nil || local.isAnnounceable() || now.Before(local.target.Since.Add(goneRecordTTL))) {
		local.storedSequence = 0
	}
}

// checkPreviousTarget asks the target that an earlier process of this daemon announced for its health. Without this, its
// slots would be idle until its next report, which takes a second or two.
func (c *Core) checkPreviousTarget() {
	local := &c.local
	if local.previous == nil || c.configuration == nil || local.healthChecked || !c.operatorKeys.loaded || c.isEvacuated(&c.cfg.Target) {
		return // nothing is sent to an evacuated target, which is not known before all keys are
	}
	previous := local.previous
	service := c.configuration.Service(c.cfg.Target.Service)
	served := previous.State == model.TargetReady || previous.DaemonEnds
	if local.report != nil || local.stopping || !served || service == nil || service.HealthPath == "" {
		local.previous = nil
		return
	}
	local.healthChecked = true
	c.emit(effect.CheckHealth{Path: service.HealthPath})
}

// handleHealthChecked restores the target that the earlier process announced if the same run of it answered that it is
// healthy; a target that leaves service does not. A report of the target takes precedence over the response.
func (c *Core) handleHealthChecked(now time.Time, ev effect.HealthChecked) {
	local := &c.local
	previous := local.previous
	local.previous = nil
	if previous == nil || local.report != nil || local.stopping {
		return
	}
	sameRun := ev.Instance != "" && ev.Instance == previous.Instance && previous == local.earlier
	c.log("target-asked", "instance", string(previous.Instance), "answered", string(ev.Instance),
		"taken", strconv.FormatBool(sameRun))
	if sameRun {
		report := previous.LastReport()
		if report.WarmupLeft = ev.WarmupLeft; !ev.WarmupKnown {
			report.WarmupLeft = max(previous.WarmAt.Sub(now), c.fullWarmup(), 0)
		}
		c.acceptReport(now, report)
	}
}
