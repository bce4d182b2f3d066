package membership

import (
	"maps"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a daemon.
	HeartbeatInterval = time.Second
	// SilenceTimeout is the time without a heartbeat after which a child is silent: three missed heartbeats, and 500 ms for a
	// heartbeat to arrive.
	SilenceTimeout = 3*HeartbeatInterval + 500*time.Millisecond
	// AttachTimeout is how long a daemon below a lost relay may take to attach to another parent before it counts as silent.
	// With a shorter limit the members of a dead relay would be shown as silent while they look for a parent.
	AttachTimeout = 5 * time.Second
	// LeaderRetention is how long a leader lists a silent daemon.
	LeaderRetention = time.Hour
	// RelayRetention is how long a relay lists a silent daemon; it only has to report it to its leader.
	RelayRetention = 10 * time.Second
)

// Child is a daemon that sends its heartbeats to this daemon.
type Child struct {
	ID            model.DaemonID
	Incarnation   model.Incarnation
	LastHeartbeat time.Time
	// Seq is the sequence number of the last heartbeat.
	Seq uint64
	// OwnNumber is the child's configuration number, Number the lowest one of the child and the daemons below it.
	OwnNumber, Number model.Number
	// Live is the number of live daemons at and below the child.
	Live int
	// Roster and RosterTerm are the version of the roster that the child holds.
	Roster     uint64
	RosterTerm model.Term
	MarkDigest uint64
	Refusals   []model.Refusal
	// RefusedNumber is the number of a configuration that the child refused; it is not sent to the child again.
	RefusedNumber model.Number
	// Suspect is set if the child could not be reached since its last heartbeat.
	Suspect bool
	// InFlight is the request ID of an update without a reply yet, or 0.
	InFlight uint64
}

// Member is this daemon or a daemon below it.
type Member struct {
	Target model.Target
	// Via is the child whose heartbeats list the member; empty while the member looks for a parent.
	Via model.DaemonID
	// MinNumber is a lower bound of the member's configuration number while Via is empty.
	MinNumber model.Number
	// AttachDeadline is when the member becomes silent unless it attaches to a parent; zero if it is attached.
	AttachDeadline time.Time
	// SilentSince is the time since which the member is silent; zero if it is live.
	SilentSince time.Time
}

// Live reports whether the member is not silent.
func (m *Member) Live() bool { return m.SilentSince.IsZero() }

// AdvertisedTarget returns the member's target as other daemons must see it: in state silent if the member is silent.
func (m *Member) AdvertisedTarget() model.Target {
	t := m.Target
	if !m.Live() {
		t.State, t.Since = model.TargetSilent, m.SilentSince
	}
	return t
}

// Members tracks the daemons at and below a leader or a relay. The daemon itself is a member with its own ID as Via.
type Members struct {
	self     model.DaemonID
	children map[model.DaemonID]*Child
	members  map[model.DaemonID]*Member
	changed  map[model.DaemonID]bool
}

// NewMembers returns the members of a daemon that has no daemons below it.
func NewMembers(self model.Target) *Members {
	m := &Members{
		self: self.Daemon, children: map[model.DaemonID]*Child{},
		members: map[model.DaemonID]*Member{}, changed: map[model.DaemonID]bool{},
	}
	m.SetSelf(self)
	return m
}

// SetSelf records the local target of this daemon.
func (m *Members) SetSelf(t model.Target) {
	m.members[m.self] = &Member{Target: t, Via: m.self}
	m.changed[m.self] = true
}

// Child returns a child, or nil.
func (m *Members) Child(id model.DaemonID) *Child { return m.children[id] }

// Member returns a member, or nil.
func (m *Members) Member(id model.DaemonID) *Member { return m.members[id] }

// Children returns the children sorted by ID.
func (m *Members) Children() []*Child {
	list := make([]*Child, 0, len(m.children))
	for _, id := range slices.Sorted(maps.Keys(m.children)) {
		list = append(list, m.children[id])
	}
	return list
}

// RecordAnnounce records a daemon that looks for a parent, with its configuration number. It reports false if a newer
// incarnation is known.
func (m *Members) RecordAnnounce(now time.Time, t model.Target, number model.Number) bool {
	known := m.members[t.Daemon]
	if t.Daemon == m.self || (known != nil && known.Target.Incarnation > t.Incarnation) {
		return false
	}
	if known != nil && known.Target.Incarnation == t.Incarnation && known.Target.Since.After(t.Since) {
		t = known.Target
	}
	m.detachChild(t.Daemon)
	m.members[t.Daemon] = &Member{Target: t, MinNumber: number, AttachDeadline: now.Add(AttachTimeout)}
	m.changed[t.Daemon] = true
	return true
}

// Inherit records targets from the roster of a new leader, so that its data centre does not disappear from the roster until
// the daemons announce themselves. Their numbers are unknown, so they count with the lowest possible number. The daemon at
// the peer address lost is the former leader, which did not answer before; it must attach within one heartbeat interval.
func (m *Members) Inherit(now time.Time, targets []model.Target, lost string) {
	for _, t := range targets {
		if known := m.members[t.Daemon]; known != nil && known.Live() {
			continue
		}
		member := &Member{Target: t, MinNumber: 1, AttachDeadline: now.Add(2 * AttachTimeout)}
		if t.PeerAddress == lost {
			member.AttachDeadline = now.Add(HeartbeatInterval)
		}
		if t.State == model.TargetSilent {
			// Since becomes zero: otherwise the time of the silence would outrank the state that the daemon announced before.
			member.SilentSince, member.Target.Since = t.Since, time.Time{}
		}
		m.members[t.Daemon] = member
		m.changed[t.Daemon] = true
	}
}

// detachChild removes a child. The daemons at and below it must attach to another parent within AttachTimeout after the
// child's last heartbeat.
func (m *Members) detachChild(id model.DaemonID) {
	c := m.children[id]
	if c == nil {
		return
	}
	delete(m.children, id)
	for _, member := range m.members {
		if member.Via == id {
			member.Via, member.MinNumber, member.AttachDeadline = "", max(member.MinNumber, c.Number), c.LastHeartbeat.Add(AttachTimeout)
		}
	}
}

// RecordHeartbeat records a heartbeat of a child. inSync is false if the child must send a full one; ok is false if a newer
// incarnation of the child is known.
func (m *Members) RecordHeartbeat(now time.Time, hb *message.Heartbeat) (inSync, ok bool) {
	c := m.children[hb.From]
	known := m.members[hb.From]
	if known != nil && hb.Incarnation < known.Target.Incarnation {
		return false, false
	}
	if c == nil || c.Incarnation < hb.Incarnation {
		m.detachChild(hb.From)
		c = &Child{ID: hb.From, Incarnation: hb.Incarnation}
		m.children[hb.From] = c
	}
	if hb.Seq <= c.Seq {
		return true, true
	}
	c.Suspect = false
	c.LastHeartbeat, c.Seq, c.Live, c.MarkDigest, c.Refusals = now, hb.Seq, hb.Live, hb.MarkDigest, hb.Refusals
	c.OwnNumber, c.Number = max(c.OwnNumber, hb.Own), hb.Number
	c.Roster, c.RosterTerm = hb.Roster, hb.RosterTerm
	if hb.Full {
		m.detachUnlisted(now, c.ID, hb.Changed)
	}
	for i := range hb.Changed {
		m.recordTarget(hb.Changed[i], c.ID)
	}
	for _, s := range hb.Silent {
		if member := m.members[s.Daemon]; member != nil && member.Via == c.ID && member.Live() {
			m.markSilent(s.Daemon, s.Since)
		}
	}
	return m.Digest(c.ID) == hb.Digest, true
}

// detachUnlisted detaches the members that a full heartbeat of their child no longer lists.
func (m *Members) detachUnlisted(now time.Time, via model.DaemonID, listed []model.Target) {
	keep := map[model.DaemonID]bool{}
	for i := range listed {
		keep[listed[i].Daemon] = true
	}
	for id, member := range m.members {
		if member.Via == via && member.Live() && !keep[id] {
			member.Via, member.AttachDeadline = "", now.Add(AttachTimeout)
		}
	}
}

// recordTarget records a target that a child lists. A live member below another child stays there, unless it now is the child
// itself: after a change of its parent, the former parent still lists the member until it has missed its heartbeats, so that
// the reports of the two parents cross.
func (m *Members) recordTarget(t model.Target, via model.DaemonID) {
	known := m.members[t.Daemon]
	if t.Daemon == m.self || (known != nil && known.Target.Incarnation > t.Incarnation) {
		return
	}
	if known != nil && known.Target.Incarnation == t.Incarnation {
		if known.Via != via && known.Via != "" && known.Live() && t.Daemon != via {
			return
		}
		if known.Target.Since.After(t.Since) {
			t = known.Target
		}
	}
	if known == nil || !known.Live() || known.Target != t {
		m.changed[t.Daemon] = true
	}
	m.members[t.Daemon] = &Member{Target: t, Via: via}
}

// markSilent marks a member silent since the given time.
func (m *Members) markSilent(id model.DaemonID, since time.Time) {
	member := m.members[id]
	member.SilentSince, member.AttachDeadline = since, time.Time{}
	m.changed[id] = true
}

// Sweep marks the daemons silent whose heartbeat or attachment is overdue. It drops those that have been silent for longer
// than retention, or for longer than RelayRetention if they were draining, and returns the dropped ones.
func (m *Members) Sweep(now time.Time, retention time.Duration) []model.DaemonID {
	for _, c := range m.Children() {
		if now.Sub(c.LastHeartbeat) > SilenceTimeout {
			member := m.members[c.ID]
			attachedHere := member != nil && member.Live() && member.Via == c.ID
			m.detachChild(c.ID)
			if attachedHere {
				m.markSilent(c.ID, c.LastHeartbeat)
			}
		}
	}
	var dropped []model.DaemonID
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		member := m.members[id]
		if member.Live() && !member.AttachDeadline.IsZero() && now.After(member.AttachDeadline) {
			m.markSilent(id, now)
		}
		if member.Live() {
			continue
		}
		wasDraining := member.Target.State == model.TargetDraining && now.Sub(member.SilentSince) > RelayRetention
		if wasDraining || now.Sub(member.SilentSince) > retention {
			delete(m.members, id)
			delete(m.changed, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// ExtendDeadlines extends all deadlines by a time in which this daemon did not run and so could not receive heartbeats.
func (m *Members) ExtendDeadlines(gap time.Duration) {
	for _, c := range m.children {
		c.LastHeartbeat = c.LastHeartbeat.Add(gap)
	}
	for _, member := range m.members {
		if !member.AttachDeadline.IsZero() {
			member.AttachDeadline = member.AttachDeadline.Add(gap)
		}
	}
}

// TakeChanged returns the members whose target or liveness changed since the last call, sorted.
func (m *Members) TakeChanged() []*Member {
	list := make([]*Member, 0, len(m.changed))
	for _, id := range slices.Sorted(maps.Keys(m.changed)) {
		list = append(list, m.members[id])
	}
	clear(m.changed)
	return list
}

// HasChanged reports whether TakeChanged would return a member.
func (m *Members) HasChanged() bool { return len(m.changed) > 0 }
