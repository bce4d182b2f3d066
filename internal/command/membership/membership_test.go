package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	_ "sniperail.example/sniperail/internal/testseed"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func target(id int, incarnation model.Incarnation) model.Target {
	return model.Target{
		Daemon: model.DaemonID(fmt.Sprintf("d%02d", id)), Incarnation: incarnation, State: model.TargetReady,
		PeerAddress: fmt.Sprintf("p%02d-%d", id, incarnation),
	}
}

// Guards against a roster that differs from its source after lost, duplicate or reordered changes.
func TestRosterFollowsItsSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := membership.NewRoster(5), membership.NewRoster(0)
		delayed := []*message.RosterChange{}
		states := map[uint64][]model.Target{0: nil}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := rapid.IntRange(0, 5).Draw(t, "daemon")
			if rapid.Bool().Draw(t, "remove") {
				source.Edit(nil, []model.DaemonID{target(id, 0).Daemon})
			} else {
				source.Edit([]model.Target{target(id, model.Incarnation(rapid.IntRange(1, 3).Draw(t, "inc")))}, nil)
			}
			states[source.Version()] = source.Targets()
			if c := source.Since(follower.Term(), follower.Version()); c != nil {
				delayed = append(delayed, c)
			}
			if len(delayed) > 0 && rapid.Bool().Draw(t, "deliver") {
				follower.Apply(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "which")])
			}
			if diff := cmp.Diff(fmt.Sprint(states[follower.Version()]), fmt.Sprint(follower.Targets())); diff != "" {
				t.Fatalf("version %d: %s", follower.Version(), diff)
			}
		}
		if c := source.Since(follower.Term(), follower.Version()); c != nil {
			follower.Apply(c)
		}
		if diff := cmp.Diff(fmt.Sprint(source.Targets()), fmt.Sprint(follower.Targets())); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against a daemon that keeps a target which only the former leader listed: the new leader continues the version
// numbers from an earlier version than the daemon holds.
func TestRosterOfNewTermDropsUnknownVersions(t *testing.T) {
	is := is.New(t)
	former, next, follower := membership.NewRoster(5), membership.NewRoster(0), membership.NewRoster(0)
	former.Edit([]model.Target{target(1, 1)}, nil)
	next.Apply(former.Since(0, 0))
	follower.Apply(former.Since(0, 0))
	commonVersion := follower.Version()
	former.Edit([]model.Target{target(2, 1)}, nil)
	follower.Apply(former.Since(5, follower.Version()))
	next.StartTerm(6)
	_, gap := follower.Apply(next.Since(5, commonVersion))
	is.True(gap)
	follower.Apply(next.Since(follower.Term(), follower.Version()))
	is.Equal(len(follower.Targets()), 1)
}

// Guards against a new leader that sends its whole roster to daemons that lack only the last change.
func TestRosterOfNewTermSendsTheDifference(t *testing.T) {
	is := is.New(t)
	former, next, follower := membership.NewRoster(5), membership.NewRoster(0), membership.NewRoster(0)
	former.Edit([]model.Target{target(1, 1), target(2, 1)}, nil)
	next.Apply(former.Since(0, 0))
	follower.Apply(former.Since(0, 0))
	next.StartTerm(6)
	next.Edit([]model.Target{target(3, 1)}, nil)
	c := next.Since(follower.Term(), follower.Version())
	is.Equal(len(c.Targets()), 1)
	follower.Apply(c)
	is.Equal(follower.Targets(), next.Targets())
}

// Guards against a roster that applies a change which starts from a version that it does not have.
func TestRosterReportsGap(t *testing.T) {
	is := is.New(t)
	r := membership.NewRoster(5)
	_, gap := r.Apply(&message.RosterChange{
		Term: 5, Base: 3, Version: 4, Groups: message.GroupTargets([]model.Target{target(1, 1)}),
	})
	is.True(gap)
	is.Equal(r.Version(), uint64(0))
}

// Guards against an older process of a replaced daemon that replaces the newer one in the roster or the members.
func TestNewerIncarnationStays(t *testing.T) {
	is := is.New(t)
	r := membership.NewRoster(1)
	r.Edit([]model.Target{target(1, 2)}, nil)
	is.True(!r.Edit([]model.Target{target(1, 1)}, nil))
	is.Equal(r.Targets()[0].PeerAddress, "p01-2")

	m := membership.NewMembers(target(0, 1))
	is.True(m.RecordAnnounce(start, target(1, 2), 1))
	is.True(!m.RecordAnnounce(start, target(1, 1), 1))
	_, ok := m.RecordHeartbeat(start, &message.Heartbeat{From: "d01", Incarnation: 1, Seq: 1})
	is.True(!ok)
	is.Equal(m.Member("d01").Target.Incarnation, model.Incarnation(2))
}

// recordHeartbeat records a heartbeat of a daemon without members and returns whether it was in sync.
func recordHeartbeat(m *membership.Members, at time.Time, id int, seq uint64, full bool) bool {
	t := target(id, 1)
	child := membership.NewMembers(t)
	hb := &message.Heartbeat{
		From: t.Daemon, Incarnation: 1, Seq: seq, Live: 1, Own: 3, Number: 3, Digest: child.Digest(""), Full: full,
	}
	if full {
		hb.Changed = []model.Target{t}
	}
	inSync, _ := m.RecordHeartbeat(at, hb)
	return inSync
}

// Guards against a dead daemon that is not silent after three missed heartbeats, and a live one that is silent because its
// parent itself was suspended.
func TestSilentAfterThreeHeartbeats(t *testing.T) {
	is := is.New(t)
	m := membership.NewMembers(target(0, 1))
	is.True(!recordHeartbeat(m, start, 1, 1, false)) // an unknown child must send a full heartbeat
	is.True(recordHeartbeat(m, start, 1, 2, true))
	m.Sweep(start.Add(3*membership.HeartbeatInterval), membership.LeaderRetention)
	is.True(m.Member("d01").Live())
	m.ExtendDeadlines(time.Minute)
	m.Sweep(start.Add(time.Minute), membership.LeaderRetention)
	is.True(m.Member("d01").Live())
	m.Sweep(start.Add(time.Minute+membership.SilenceTimeout+1), membership.LeaderRetention)
	is.True(!m.Member("d01").Live())
	is.Equal(m.InForce(9, "dc").Silent[0].Daemon, model.DaemonID("d01"))
	is.Equal(m.InForce(9, "dc").Number, model.Number(9)) // a silent daemon is reported and not counted
}

// Guards against a leader or relay with far more than sqrt(n) children.
func TestTreeHasAboutSqrtRelays(t *testing.T) { checkTree(t, true) }

// Guards against retries of many daemons at the same time.
func TestBackoffHasFullJitter(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	low, high := time.Hour, time.Duration(0)
	for range 1000 {
		d := membership.Backoff(r, 30, time.Second, 8*time.Second)
		low, high = min(low, d), max(high, d)
	}
	is.True(low < 100*time.Millisecond && high > 7*time.Second && high <= 8*time.Second)
}

// Guards against a leader with every daemon as its child: if all daemons of a data centre announce themselves before the
// first heartbeat of a relay, they must not all become relays because no relay has sent a heartbeat.
func TestTreeOfDaemonsThatStartTogether(t *testing.T) { checkTree(t, false) }

// checkTree assigns the daemons of a data centre one after the other. If heartbeats is set, each relay sends a heartbeat at
// once; otherwise no relay sends one.
func checkTree(t *testing.T, heartbeats bool) {
	is := is.New(t)
	m, tree := membership.NewMembers(target(0, 1)), membership.NewTree()
	relays, childrenOf := 0, map[string]int{}
	for i := 1; i < 163; i++ {
		m.RecordAnnounce(start, target(i, 1), 0)
		parent, relay := tree.Assign(start, m, target(i, 1).Daemon, false, "")
		if !relay {
			childrenOf[parent]++
			continue
		}
		relays++
		if heartbeats {
			recordHeartbeat(m, start, i, 1, true)
		}
	}
	is.Equal(relays, 13)
	for _, n := range childrenOf {
		is.True(n <= 26)
	}
}
