package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
	_ "sniperail.example/sniperail/internal/testseed"
)

// restoreModel draws writes, restores and restarts of daemons.
type restoreModel struct {
	sim    *simulation
	number model.Number
	seq    uint64
	copy   storeCopy
	copied time.Time
	// final is the reported end of the move.
	final string
}

// maxCopyAge is the age of the oldest copy that a store is restored from.
const maxCopyAge = 3 * time.Second

func (m *restoreModel) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.sim.nodes)-1).Draw(t, "daemon")
	switch rapid.SampledFrom([]string{"configure", "configure", "order", "leave", "return", "restart", "copy", "restore", "restore", "cut"}).Draw(t, "step") {
	case "configure":
		m.number++
		m.sim.configure(m.number, fmt.Sprintf("/n%d/", m.number))
	case "order":
		if m.final == "" {
			m.sim.put("op/intent/profiles", model.Intent{Service: "profiles", To: "v2", WatchSeconds: rapid.IntRange(0, 1).Draw(t, "watch")})
		}
	case "leave":
		m.report(i, model.TargetDraining)
	case "return":
		m.report(i, model.TargetReady)
	case "restart":
		local := m.sim.nodes[i].view.Local
		m.sim.start(string(local.Daemon), []string{m.sim.nodes[(i+1)%len(m.sim.nodes)].address})
		m.report(i, local.State)
	case "copy":
		m.copy, m.copied = m.sim.copyStore(), m.sim.now
	case "restore":
		if m.sim.now.Sub(m.copied) > maxCopyAge {
			m.copy, m.copied = m.sim.copyStore(), m.sim.now
			return
		}
		lost := m.sim.restore(m.copy)
		runTraffic(m.sim, rapid.SampledFrom([]time.Duration{0, rewriteDelay}).Draw(t, "delay"), 0)
		m.sim.rewrite(lost)
	case "cut":
		n := m.sim.nodes[i]
		n.platformUnreachable = !n.platformUnreachable
	}
}

func (m *restoreModel) report(i int, state model.TargetState) {
	m.seq++
	version := model.VersionName("v1")
	if i >= len(m.sim.nodes)/2 {
		version = "v2"
	}
	m.sim.report(m.sim.nodes[i], model.TargetReport{
		Instance: model.InstanceID(fmt.Sprint("i", i)), Born: 1, Seq: m.seq, Version: version, State: state,
	})
}

// Guards against daemons that end in different states, or forget what was acknowledged, after any order of writes, restores and restarts.
func TestAnyOrderOfRestoresEndsInOneState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &restoreModel{sim: newNamedSimulation(t, 6), number: 1, seq: 10}
		m.sim.configure(1, "/a/")
		for i := range m.sim.nodes {
			m.report(i, model.TargetReady)
		}
		m.sim.run(6 * time.Second)
		m.copy, m.copied = m.sim.copyStore(), m.sim.now
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			m.step(t)
			runTraffic(m.sim, rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 1400 * time.Millisecond}).Draw(t, "pause"), 0)
			m.checkReport(t)
		}
		for _, n := range m.sim.nodes {
			n.platformUnreachable = false
		}
		runTraffic(m.sim, 20*time.Second, 0)
		m.checkReport(t)
		m.checkOneState(t)
	})
}

// checkReport checks that the reported end of the move is not taken back for longer than it takes to write it again.
func (m *restoreModel) checkReport(_ *rapid.T) {
	if final := finalPhase(m.sim); final != "" {
		m.final = final
	}
}

func (m *restoreModel) checkOneState(t *rapid.T) {
	if m.final != "" && reportedPhase(m.sim) != m.final {
		t.Fatalf("the move was reported %s, and in the end the report says %q", m.final, reportedPhase(m.sim))
	}
	if numbers := m.sim.configurationNumbers(); len(numbers) != 1 || numbers[m.number] == 0 {
		t.Fatalf("configurations in force: %v, written: %d", numbers, m.number)
	}
	for i, n := range m.sim.nodes {
		stored := m.sim.store.Do(store.Call{Kind: store.KindGet, Key: store.PrefixTargets + string(n.view.Local.Daemon)}).Entries
		if len(stored) != 1 || decodeTarget(t, stored[0].Value).State != n.view.Local.State {
			t.Fatalf("the store does not announce %s as %s: %v", n.address, n.view.Local.State, stored)
		}
		for j, other := range m.sim.nodes {
			if got := stateOf(other, n.view.Local.Daemon); got != n.view.Local.State {
				t.Fatalf("daemon %d takes the target of daemon %d for %s instead of %s", j, i, got, n.view.Local.State)
			}
			if a, b := shareOf(n.view, "v2"), shareOf(other.view, "v2"); a != b {
				t.Fatalf("daemons %d and %d give %s and %s of the calls to v2", i, j, a, b)
			}
		}
	}
}
