package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/command/confirmation"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const revokeWithin = 5 * time.Second

// serves reports whether the traffic of a node serves requests with API keys.
func (sim *simulation) serves(n *node) bool {
	return confirmation.Serves(n.confirmed, sim.clock(), sim.revokeWithin)
}

func newConfirming(t failer, n int) *simulation {
	sim := newNamedSimulation(t, 0)
	sim.revokeWithin = revokeWithin
	for i := range n {
		sim.start(fmt.Sprintf("d%02d", i), nil)
	}
	sim.startTargets("v1")
	return sim
}

// sent returns the calls of all nodes to the store, and their confirmation queries.
func (sim *simulation) sent() (calls, queries int) {
	for _, n := range sim.nodes {
		for _, count := range n.storeCalls {
			calls += count
		}
		queries += n.confirmationQueries
	}
	return calls, queries
}

// Guards against confirmations that are paid for with calls to the store, that are renewed too late while all is well, or that
// need many messages; and against messages of daemons that confirm nothing.
func TestDaemonsInTouchStayConfirmedWithoutStoreCalls(t *testing.T) {
	is := is.New(t)
	const daemons, seconds = 12, 60
	measure := func(sim *simulation) (calls, queries int, oldest time.Duration) {
		sim.latency = 20 * time.Millisecond
		for _, n := range sim.nodes {
			n.replyDelay = sim.latency
		}
		sim.run(2 * time.Second)
		calls, queries = sim.sent()
		for range seconds * 50 {
			sim.run(20 * time.Millisecond)
			for _, n := range sim.nodes {
				oldest = max(oldest, sim.clock()-max(n.confirmed, 0))
			}
		}
		callsEnd, queriesEnd := sim.sent()
		return callsEnd - calls, queriesEnd - queries, oldest
	}
	plain := newNamedSimulation(t, daemons)
	plain.startTargets("v1")
	plainCalls, plainQueries, _ := measure(plain)
	calls, queries, oldest := measure(newConfirming(t, daemons))
	t.Logf("%d daemons, %d s: %d store calls, %d without confirmations; %d queries; oldest confirmation %s",
		daemons, seconds, calls, plainCalls, queries, oldest)
	is.True(calls <= plainCalls+plainCalls/20)
	is.True(oldest < revokeWithin/2)    // the store is read from that age on
	is.True(queries <= daemons*seconds) // one second is shorter than a quarter of the allowed age
	is.Equal(plainQueries, 0)
}

// Guards against a confirmation by a read of a document that was refused: what it removes is not known.
func TestUnreadableConfigurationDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	sim := newConfirming(t, 4)
	sim.put("op/configuration", "unreadable")
	sim.run(revokeWithin)
	sim.run(20 * time.Second)
	for _, n := range sim.nodes {
		is.True(!sim.serves(n))
	}
	sim.configure(2, "/a/")
	sim.run(3 * time.Second)
	for _, n := range sim.nodes {
		is.True(sim.serves(n))
	}
}

// Guards against a confirmation by a pushed message, however high the numbers that it names.
func TestPushedMessageDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	sim := newConfirming(t, 3)
	n := sim.nodes[0]
	n.platformUnreachable, n.peersUnreachable = true, true
	for check := range 30 {
		sim.run(200 * time.Millisecond)
		sim.handle(n, effect.RequestReceived{Token: 99, Body: &message.Spread{
			From: "d01:1", Era: store.Era{Number: 1, Name: "1"}, Number: 1, Revision: 1, Check: uint64(1000 + check),
			Document: &message.Document{Revision: 1, Number: 1},
		}})
	}
	is.True(!sim.serves(n))
}

// Guards against a daemon that was cut off while a key was removed and confirms its configuration by a store that has come back
// from a copy without the removal, before the operator has written it again.
func TestOlderCopyOfTheStoreDoesNotConfirm(t *testing.T) {
	for _, peersToo := range []bool{false, true} {
		is := is.New(t)
		sim := newConfirming(t, 5)
		n := sim.nodes[1]
		n.platformUnreachable, n.peersUnreachable = true, true
		older := sim.copyStore()
		sim.configure(2, "/a/")
		sim.run(2 * revokeWithin)
		lost := sim.restore(older)
		n.platformUnreachable, n.peersUnreachable = false, !peersToo
		for range 150 {
			sim.run(20 * time.Millisecond)
			is.True(!sim.serves(n) || n.view.Configuration.Number == 2)
		}
		is.Equal(sim.serves(n), peersToo)
		sim.rewrite(lost)
		sim.run(confirmation.RestoreDoubt)
		is.True(sim.serves(n))
	}
}

// revokeModel draws configurations, each of which removes the key of the one before, and faults.
type revokeModel struct {
	sim    *simulation
	number model.Number
	// acknowledged holds the times at which the store acknowledged the numbers.
	acknowledged map[model.Number]time.Time
	copy         storeCopy
	copied       time.Time
}

func (m *revokeModel) configure() {
	m.number++
	m.sim.configure(m.number, "/a/")
	m.acknowledged[m.number] = m.sim.now
}

// run advances the time and checks that no node, running or not, serves requests with a key that was removed too long ago.
func (m *revokeModel) run(t *rapid.T, d time.Duration) {
	for end := m.sim.now.Add(d); m.sim.now.Before(end); {
		m.sim.run(20 * time.Millisecond)
		for _, n := range m.sim.nodes {
			if n.view == nil || !m.sim.serves(n) {
				continue
			}
			for number, at := range m.acknowledged {
				if number > n.view.Configuration.Number && m.sim.now.Sub(at) > revokeWithin {
					t.Fatalf("%s serves with configuration %d, %s after %d", n.address, n.view.Configuration.Number, m.sim.now.Sub(at), number)
				}
			}
		}
	}
}

func (m *revokeModel) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.sim.nodes)-1).Draw(t, "daemon")
	n := m.sim.nodes[i]
	delays := rapid.SampledFrom([]time.Duration{0, 40 * time.Millisecond, 700 * time.Millisecond, 4 * time.Second})
	switch rapid.SampledFrom([]string{
		"configure", "configure", "slow store", "lost calls", "late replies", "cut from store", "cut from peers", "cut", "heal", "suspend",
		"restart", "copy", "restore", "latency",
	}).Draw(t, "step") {
	case "configure":
		m.configure()
	case "slow store":
		n.responseDelay = delays.Draw(t, "delay")
	case "lost calls":
		n.silentStoreCalls = rapid.IntRange(1, 5).Draw(t, "calls")
	case "late replies":
		n.replyDelay = delays.Draw(t, "delay")
	case "cut from store":
		n.platformUnreachable = !n.platformUnreachable
	case "cut from peers":
		n.peersUnreachable = !n.peersUnreachable
	case "cut":
		n.platformUnreachable, n.peersUnreachable, n.watchesSilent = true, true, !n.watchesSilent
	case "heal":
		n.platformUnreachable, n.peersUnreachable, n.stopped = false, false, false
	case "suspend":
		n.stopped = !n.stopped
	case "latency":
		m.sim.latency = delays.Draw(t, "latency")
	case "restart":
		m.sim.start(fmt.Sprintf("d%02d", i), []string{m.sim.nodes[(i+1)%len(m.sim.nodes)].address})
		m.sim.startTarget(i, "v1")
	case "copy":
		m.copy, m.copied = m.sim.copyStore(), m.sim.now
	case "restore":
		if m.sim.now.Sub(m.copied) > maxCopyAge {
			m.copy, m.copied = m.sim.copyStore(), m.sim.now
			return
		}
		lost := m.sim.restore(m.copy)
		m.run(t, rapid.SampledFrom([]time.Duration{0, rewriteDelay}).Draw(t, "delay"))
		m.sim.rewrite(lost)
	}
}

// Guards against a request with an API key that was removed more than the allowed time ago, after any order of slow, lost and
// late messages, cuts, suspensions, restarts and returns of the store from an older copy; and against a daemon that does not
// serve again.
func TestRevokedKeysAreNotServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &revokeModel{sim: newConfirming(t, 5), number: 1, acknowledged: map[model.Number]time.Time{}}
		m.copy, m.copied = m.sim.copyStore(), m.sim.now
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			m.step(t)
			m.run(t, rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "pause"))
		}
		for _, n := range m.sim.nodes {
			n.stopped, n.platformUnreachable, n.peersUnreachable = false, false, false
			n.responseDelay, n.replyDelay, n.silentStoreCalls = 0, 0, 0
		}
		m.sim.latency = 0
		m.run(t, 12*time.Second)
		for _, n := range m.sim.nodes {
			if !m.sim.serves(n) || n.view.Configuration.Number != m.number {
				t.Fatalf("%s does not serve with configuration %d after all faults have ended", n.address, m.number)
			}
		}
	})
}
