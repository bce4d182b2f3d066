package membership

import (
	"maps"
	"math"
	"slices"
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
	best := t.best(now, m, avoid)
	if best == "" {
		t.relays[id] = 0
		return "", true
	}
	t.relays[best]++
	t.of[id] = best
	return m.members[best].Target.PeerAddress, false
}

// best returns the relay with the fewest members that is not late or suspect, or "". A relay that has announced itself
// and sent no heartbeat yet counts, because daemons that start together all announce themselves before the first one.
func (t *Tree) best(now time.Time, m *Members, avoid string) model.DaemonID {
	best := model.DaemonID("")
	for _, id := range slices.Sorted(maps.Keys(t.relays)) {
		c := m.Child(id)
		avoided := m.Member(id).Target.PeerAddress == avoid
		if avoided && c != nil {
			c.Suspect = true
		}
		late := c != nil && (c.Suspect || now.Sub(c.Heard) >= lateAfter)
		if !avoided && !late && (best == "" || t.relays[id] < t.relays[best]) {
			best = id
		}
	}
	return best
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
