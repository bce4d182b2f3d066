package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// lateThreshold is the time since its last heartbeat after which a relay is assigned no new members. It may be dead, which is
// certain only after SilenceTimeout, and members assigned to a dead relay would lose more time than those assigned to another
// one.
const lateThreshold = HeartbeatInterval + 300*time.Millisecond

// Tree assigns the members of a data centre to relays.
type Tree struct {
	// memberCounts maps each relay to the number of members assigned to it.
	memberCounts map[model.DaemonID]int
	// relayOf maps a member to the relay that it is assigned to.
	relayOf map[model.DaemonID]model.DaemonID
}

// NewTree returns a tree without relays.
func NewTree() *Tree {
	return &Tree{memberCounts: map[model.DaemonID]int{}, relayOf: map[model.DaemonID]model.DaemonID{}}
}

// Assign returns the address of the relay for a member that announces itself, or relay=true if the member becomes a relay. A
// member that already is a relay stays one. The leader appoints about sqrt(n) relays for n members, so that the leader and
// each relay have about the same number of children.
func (t *Tree) Assign(now time.Time, m *Members, id model.DaemonID, isRelay bool, avoid string) (parent string, relay bool) {
	t.remove(id)
	t.prune(m)
	wantedRelays := int(math.Ceil(math.Sqrt(float64(len(m.members)))))
	if isRelay || len(t.memberCounts) < wantedRelays {
		t.memberCounts[id] = 0
		return "", true
	}
	best := t.bestRelay(now, m, avoid)
	if best == "" {
		t.memberCounts[id] = 0
		return "", true
	}
	t.memberCounts[best]++
	t.relayOf[id] = best
	return m.members[best].Target.PeerAddress, false
}

// bestRelay returns the relay with the fewest members that is neither late nor suspect, or "". The relay at address avoid,
// which a member could not reach, becomes suspect. A relay that has announced itself but sent no heartbeat yet is eligible,
// because daemons that start together all announce themselves before the first heartbeat.
func (t *Tree) bestRelay(now time.Time, m *Members, avoid string) model.DaemonID {
	best := model.DaemonID("")
	for _, id := range slices.Sorted(maps.Keys(t.memberCounts)) {
		c := m.Child(id)
		avoided := m.Member(id).Target.PeerAddress == avoid
		if avoided && c != nil {
			c.Suspect = true
		}
		late := c != nil && (c.Suspect || now.Sub(c.LastHeartbeat) >= lateThreshold)
		if !avoided && !late && (best == "" || t.memberCounts[id] < t.memberCounts[best]) {
			best = id
		}
	}
	return best
}

func (t *Tree) remove(id model.DaemonID) {
	if relay, ok := t.relayOf[id]; ok {
		delete(t.relayOf, id)
		if _, still := t.memberCounts[relay]; still {
			t.memberCounts[relay]--
		}
	}
	delete(t.memberCounts, id)
}

// prune removes relays that are silent or gone, so that the next members that announce themselves replace them.
func (t *Tree) prune(m *Members) {
	for id := range t.memberCounts {
		if member := m.members[id]; member == nil || !member.Live() {
			delete(t.memberCounts, id)
		}
	}
	for id, relay := range t.relayOf {
		if _, ok := t.memberCounts[relay]; !ok {
			delete(t.relayOf, id)
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
