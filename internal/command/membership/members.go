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
	// SilenceTimeout is three missed heartbeats and the time that a heartbeat takes.
	SilenceTimeout = 3*HeartbeatInterval + 500*time.Millisecond
	// AttachTimeout is how long a daemon below a lost relay may take to reach another parent before it is silent. With
	// a shorter limit the members of a dead relay would leave the roster although they only look for a parent.
	AttachTimeout = 5 * time.Second
	// LeaderRetention is how long a leader lists a silent daemon.
	LeaderRetention = time.Hour
	// RelayRetention is how long a relay lists a silent daemon; it only has to tell its leader.
	RelayRetention = 10 * time.Second
)

// Child is a daemon that sends its heartbeats here.
type Child struct {
	ID          model.DaemonID
	Incarnation model.Incarnation
	Heard       time.Time
	Seq         uint64
	// Own is the child's number, Number the lowest of it and the daemons below it.
	Own, Number model.Number
	Live        int
	Roster      uint64
	RosterTerm  model.Term
	MarkDigest  uint64
	Refusals    []model.Refusal
	// Refused is the number of a configuration that it refused, which is not sent again.
	Refused model.Number
	// Suspect says that it could not be reached since its last heartbeat.
	Suspect bool
	// InFlight is the request ID of an update that was not answered yet, or 0.
	InFlight uint64
}

// Member is a daemon at or below this one.
type Member struct {
	Target model.Target
	// Via is the child through which it is heard; empty while it looks for a parent.
	Via model.DaemonID
	// Floor is the number that it held at least when it was last heard directly.
	Floor model.Number
	// Due is when it becomes silent unless it attaches; zero if it is attached.
	Due time.Time
	// Silent is since when it is silent; zero if it is live.
	Silent time.Time
}

// Live reports whether the member is not silent.
func (m *Member) Live() bool { return m.Silent.IsZero() }

// Presented returns the member's target with the state that other daemons must act on.
func (m *Member) Presented() model.Target {
	t := m.Target
	if !m.Live() {
		t.State, t.Since = model.TargetSilent, m.Silent
	}
	return t
}

// Members tracks the daemons at and below a leader or a relay. The daemon itself is a member without a child.
type Members struct {
	self     model.DaemonID
	children map[model.DaemonID]*Child
	members  map[model.DaemonID]*Member
	changed  map[model.DaemonID]bool
}

// NewMembers returns the members of a daemon that has none below it.
func NewMembers(self model.Target) *Members {
	m := &Members{
		self: self.Daemon, children: map[model.DaemonID]*Child{},
		members: map[model.DaemonID]*Member{}, changed: map[model.DaemonID]bool{},
	}
	m.SetSelf(self)
	return m
}

// SetSelf records the target beside this daemon.
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

// Announce records a daemon that looks for a parent. It reports false if a newer incarnation is known.
func (m *Members) Announce(now time.Time, t model.Target, number model.Number) bool {
	known := m.members[t.Daemon]
	if t.Daemon == m.self || (known != nil && known.Target.Incarnation > t.Incarnation) {
		return false
	}
	if known != nil && known.Target.Incarnation == t.Incarnation && known.Target.Since.After(t.Since) {
		t = known.Target
	}
	m.detach(t.Daemon)
	m.members[t.Daemon] = &Member{Target: t, Floor: number, Due: now.Add(AttachTimeout)}
	m.changed[t.Daemon] = true
	return true
}

// Inherit records targets that the view of a new leader lists, so that its data centre does not vanish from the roster
// until the daemons announce themselves. Their numbers are unknown, so the lowest possible one holds them back. The
// daemon at the address lost did not answer before and gets only one heartbeat interval: it is the former leader.
func (m *Members) Inherit(now time.Time, targets []model.Target, lost string) {
	for _, t := range targets {
		if known := m.members[t.Daemon]; known != nil && known.Live() {
			continue
		}
		member := &Member{Target: t, Floor: 1, Due: now.Add(2 * AttachTimeout)}
		if t.PeerAddress == lost {
			member.Due = now.Add(HeartbeatInterval)
		}
		if t.State == model.TargetSilent {
			// The time of the silence must not hide the state that the daemon announced before.
			member.Silent, member.Target.Since = t.Since, time.Time{}
		}
		m.members[t.Daemon] = member
		m.changed[t.Daemon] = true
	}
}

// detach removes a child; the daemons below it get until AttachWithin after its last heartbeat to attach elsewhere.
func (m *Members) detach(id model.DaemonID) {
	c := m.children[id]
	if c == nil {
		return
	}
	delete(m.children, id)
	for _, member := range m.members {
		if member.Via == id {
			member.Via, member.Floor, member.Due = "", max(member.Floor, c.Number), c.Heard.Add(AttachTimeout)
		}
	}
}

// Heartbeat takes a heartbeat of a child. InSync is false if the child must send a full one; ok is false if the sender
// is an older incarnation than the one known.
func (m *Members) Heartbeat(now time.Time, hb *message.Heartbeat) (inSync, ok bool) {
	c := m.children[hb.From]
	known := m.members[hb.From]
	if known != nil && hb.Incarnation < known.Target.Incarnation {
		return false, false
	}
	if c == nil || c.Incarnation < hb.Incarnation {
		m.detach(hb.From)
		c = &Child{ID: hb.From, Incarnation: hb.Incarnation}
		m.children[hb.From] = c
	}
	if hb.Seq <= c.Seq {
		return true, true
	}
	c.Suspect = false
	c.Heard, c.Seq, c.Live, c.MarkDigest, c.Refusals = now, hb.Seq, hb.Live, hb.MarkDigest, hb.Refusals
	c.Own, c.Number = max(c.Own, hb.Own), hb.Number
	c.Roster, c.RosterTerm = hb.Roster, hb.RosterTerm
	if hb.Full {
		m.release(now, c.ID, hb.Changed)
	}
	for i := range hb.Changed {
		m.take(hb.Changed[i], c.ID)
	}
	for _, s := range hb.Silent {
		if member := m.members[s.Daemon]; member != nil && member.Via == c.ID && member.Live() {
			m.silence(s.Daemon, s.Since)
		}
	}
	return m.Digest(c.ID) == hb.Digest, true
}

// release lets go of the members that a full heartbeat of their child no longer lists.
func (m *Members) release(now time.Time, via model.DaemonID, listed []model.Target) {
	keep := map[model.DaemonID]bool{}
	for i := range listed {
		keep[listed[i].Daemon] = true
	}
	for id, member := range m.members {
		if member.Via == via && member.Live() && !keep[id] {
			member.Via, member.Due = "", now.Add(AttachTimeout)
		}
	}
}

// take records that a target is heard through a child. A member that another live child lists is left there: the two
// reports crossed, and the old parent lists it until it misses its heartbeats.
func (m *Members) take(t model.Target, via model.DaemonID) {
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

func (m *Members) silence(id model.DaemonID, since time.Time) {
	member := m.members[id]
	member.Silent, member.Due = since, time.Time{}
	m.changed[id] = true
}

// Sweep marks the daemons silent whose time is over, and drops those that have been silent for longer than forget or
// had announced that they leave. It returns the dropped ones.
func (m *Members) Sweep(now time.Time, forget time.Duration) []model.DaemonID {
	for _, c := range m.Children() {
		if now.Sub(c.Heard) > SilenceTimeout {
			member := m.members[c.ID]
			here := member != nil && member.Live() && member.Via == c.ID
			m.detach(c.ID)
			if here {
				m.silence(c.ID, c.Heard)
			}
		}
	}
	var dropped []model.DaemonID
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		member := m.members[id]
		if member.Live() && !member.Due.IsZero() && now.After(member.Due) {
			m.silence(id, now)
		}
		if member.Live() {
			continue
		}
		left := member.Target.State == model.TargetDraining && now.Sub(member.Silent) > RelayRetention
		if left || now.Sub(member.Silent) > forget {
			delete(m.members, id)
			delete(m.changed, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Paused moves all deadlines by the time in which this daemon itself did not run and could hear nobody.
func (m *Members) Paused(gap time.Duration) {
	for _, c := range m.children {
		c.Heard = c.Heard.Add(gap)
	}
	for _, member := range m.members {
		if !member.Due.IsZero() {
			member.Due = member.Due.Add(gap)
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
