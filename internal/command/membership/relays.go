package membership

import (
	"math"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// lateAfter is how long after its last heartbeat a relay gets no new members: it may be dead, which is certain only
// after SilentAfter, and members sent to a dead relay would lose more time than those sent to another one.
const lateAfter = HeartbeatInterval + 300*time.Millisecond

// Tree assigns the members of a data centre to relays.
type Tree struct {
	// relays maps a relay to the members assigned to it.
	relays map[model.DaemonID]int
	of     map[model.DaemonID]model.DaemonID
}

// NewTree returns a tree without relays.
func NewTree() *Tree {
	return &Tree{relays: map[model.DaemonID]int{}, of: map[model.DaemonID]model.DaemonID{}}
}

// Assign returns the relay of a member that announces itself, or relay set if it shall be one. A member that already is
// a relay stays one. The leader makes about sqrt(n) relays for n members, so that it and each relay have about as many
// children.
func (t *Tree) Assign(now time.Time, m *Members, id model.DaemonID, isRelay bool, avoid string) (parent string, relay bool) {
	t.remove(id)
	t.prune(m)
	want := int(math.Ceil(math.Sqrt(float64(len(m.members)))))
	if isRelay || len(t.relays) < want {
		t.relays[id] = 0
		return "", true
	}
	best := model.DaemonID("")
	for _, c := range m.Children() {
		n, ok := t.relays[c.ID]
		member := m.members[c.ID]
		if !ok || member == nil {
			continue
		}
		if member.Target.PeerAddress == avoid {
			c.Suspect = true
		}
		if !c.Suspect && now.Sub(c.Heard) < lateAfter && (best == "" || n < t.relays[best]) {
			best = c.ID
		}
	}
	if best == "" {
		t.relays[id] = 0
		return "", true
	}
	t.relays[best]++
	t.of[id] = best
	return m.members[best].Target.PeerAddress, false
}

func (t *Tree) remove(id model.DaemonID) {
	if relay, ok := t.of[id]; ok {
		delete(t.of, id)
		if _, still := t.relays[relay]; still {
			t.relays[relay]--
		}
	}
	delete(t.relays, id)
}

// prune forgets relays that are silent or gone, so that the next members to announce themselves replace them.
func (t *Tree) prune(m *Members) {
	for id := range t.relays {
		if member := m.members[id]; member == nil || !member.Live() {
			delete(t.relays, id)
		}
	}
	for id, relay := range t.of {
		if _, ok := t.relays[relay]; !ok {
			delete(t.of, id)
		}
	}
}

// Backoff returns the next delay of a retry with full jitter: uniform between 0 and base*2^attempt, at most limit.
func Backoff(rand interface{ Float64() float64 }, attempt int, base, limit time.Duration) time.Duration {
	d := limit
	if attempt < 16 {
		d = min(limit, base<<attempt)
	}
	return time.Duration(rand.Float64() * float64(d))
}
