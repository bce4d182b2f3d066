package catalog

import (
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

const (
	// shareRecordDelay is the time that the platform has to store that the target is leaving before peers are told. Records that it
	// stores at once need no more messages, and peers know the others before ackTimeout.
	shareRecordDelay = 200 * time.Millisecond
	// sharedRecordTTL is the time for which daemons keep such a record. The platform keeps its own for as long.
	sharedRecordTTL = leaseTTL
)

// sharedRecord is the record of a target that is leaving, which its daemon shared with its peers because the platform had not
// stored it. If that daemon is killed, its next process learns from them what was acknowledged.
type sharedRecord struct {
	record    model.TargetRecord
	expiresAt time.Time
}

// scheduleRecordShare makes this daemon share the record of a target that is leaving, or of which a run has departed, unless the
// platform stores it soon.
func (l *localTarget) scheduleRecordShare(now time.Time) {
	l.shareAt = time.Time{}
	if record := (model.TargetRecord{Target: l.target}); record.IsLeaving() || l.hasUnstoredDeparture(now) {
		l.shareAt = now.Add(shareRecordDelay)
	}
}

// shareDueRecord gossips the record of the local target if the platform has not stored it in time.
func (c *Core) shareDueRecord(now time.Time) {
	local := &c.local
	if local.shareAt.IsZero() || now.Before(local.shareAt) {
		return
	}
	local.shareAt = time.Time{}
	if local.hasUnstoredReport() {
		c.log("record-shared", "instance", string(local.target.Instance), "state", string(local.target.State))
		c.keepSharedRecord(sharedRecord{local.record(now), now.Add(sharedRecordTTL)})
		c.sendRecordToSeeds(now)
	}
}

// sendRecordToSeeds sends the record of the local target to the seeds, which the next process of this daemon asks first. Gossip may
// miss them until the next anti-entropy query.
func (c *Core) sendRecordToSeeds(now time.Time) {
	spread := &message.Spread{
		From: c.cfg.Target.PeerAddress, Era: c.eraOfKeys(), Number: c.configurationNumber(), Revision: c.configurationRevision,
		Shared: c.sharedRecordMessages(now, []model.DaemonID{c.cfg.Target.Daemon}),
	}
	for _, seed := range c.cfg.Seeds {
		if seed != c.cfg.Target.PeerAddress {
			c.send(seed, spread, func(time.Time, message.Reply) {
				// A seed that missed the message catches up by anti-entropy.
			})
		}
	}
}

// keepSharedRecord keeps a record unless a later one of the same daemon is known, and the departures of both, and gossips the result.
// It reports whether the record says anything new.
func (c *Core) keepSharedRecord(s sharedRecord) bool {
	daemon := s.record.Daemon
	if known, ok := c.sharedRecords[daemon]; ok {
		later, earlier := s, known
		if !isSuperseded(&known.record, &s.record) {
			later, earlier = known, s
			if len(addedDepartures(&known.record, s.record.Departures)) == 0 {
				return false
			}
		}
		added := addedDepartures(&later.record, earlier.record.Departures)
		later.record.Departures = slices.Concat(added, later.record.Departures)
		later.record.Departures = later.record.Departures[max(len(later.record.Departures)-maxDepartures, 0):]
		if later.expiresAt.Before(earlier.expiresAt) {
			later.expiresAt = earlier.expiresAt
		}
		s = later
	}
	c.sharedRecords[daemon] = s
	c.pendingRecords = append(c.pendingRecords, daemon)
	return true
}

// mergeSharedRecords merges the records that a peer has sent.
func (c *Core) mergeSharedRecords(now time.Time, records []message.SharedRecord) {
	for i := range records {
		record := records[i].Record
		expiresAt := now.Add(sharedRecordTTL - records[i].Age)
		if !now.Before(expiresAt) || !c.keepSharedRecord(sharedRecord{record, expiresAt}) {
			continue
		}
		m := c.roster[record.Daemon]
		switch {
		case record.Daemon == c.cfg.Target.Daemon:
			if record.Incarnation != c.local.target.Incarnation {
				c.handleEarlierRecord(now, &record)
			}
		case m == nil || !record.Newer(&m.target):
		case record.State == model.TargetGone:
			c.removeMember(now, record.Daemon, "its target has left")
		default:
			c.updateMember(m, record.Target, "peer")
		}
	}
}

// sharedRecordMessages returns the records of the given daemons as they are sent to peers, without those that have been removed.
func (c *Core) sharedRecordMessages(now time.Time, daemons []model.DaemonID) []message.SharedRecord {
	var messages []message.SharedRecord
	for _, daemon := range daemons {
		if s, ok := c.sharedRecords[daemon]; ok {
			messages = append(messages, message.SharedRecord{Record: s.record, Age: sharedRecordTTL - s.expiresAt.Sub(now)})
		}
	}
	return messages
}

// allSharedRecords returns the records that have not expired as they are sent to peers.
func (c *Core) allSharedRecords(now time.Time) []message.SharedRecord {
	var daemons []model.DaemonID
	for daemon := range c.sharedRecords {
		if now.Before(c.sharedRecords[daemon].expiresAt) {
			daemons = append(daemons, daemon)
		}
	}
	slices.Sort(daemons)
	return c.sharedRecordMessages(now, daemons)
}

// removeExpiredRecords removes the records that have expired.
func (c *Core) removeExpiredRecords(now time.Time) {
	maps.DeleteFunc(c.sharedRecords, func(_ model.DaemonID, s sharedRecord) bool { return !now.Before(s.expiresAt) })
}

// isSuperseded reports whether another record of the same daemon follows from a later report. The platform may still hold the record
// before the one that was shared. Records of different processes are compared by their reports: after a step of the clock the
// later process may have the lower incarnation.
func isSuperseded(record, by *model.TargetRecord) bool {
	if by == nil {
		return false
	}
	if record.Incarnation == by.Incarnation {
		return by.Sequence > record.Sequence
	}
	if record.Born == 0 || by.Born == 0 {
		// A run that has left before its first report; its start time is not known.
		return by.Incarnation > record.Incarnation
	}
	return by.LastReport().Newer(record.LastReport())
}
