package explanation_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/explanation"
	"sniperail.example/sniperail/internal/query/routing"
)

func target(daemon, dc, version string, state model.TargetState) model.Target {
	return model.Target{Daemon: model.DaemonID(daemon), Service: "s", Version: model.VersionName(version),
		DataCentre: model.DataCentre(dc), Region: "r", State: state, Slots: 4}
}

func load(outstanding float64, executionTime time.Duration) explanation.Load {
	return explanation.Load{TargetLoad: routing.TargetLoad{
		Outstanding: outstanding, Slots: 4, Fresh: true, ExecutionTime: executionTime, MeanExecutionTime: executionTime,
	}}
}

// newSnapshot returns a service of two versions with targets in all conditions, and two tenants, "a" with the key "key-a".
func newSnapshot() explanation.Snapshot {
	priority := 3
	view := &model.View{Ready: true, DataCentre: "x", Region: "r", Evacuated: []model.DataCentre{"z"},
		Configuration: &model.Configuration{
			Number: 7,
			Services: []model.Service{{Name: "s", WarmupPerSecond: 4, Versions: []model.VersionShare{
				{Version: "v1", Share: 7_500}, {Version: "v2", Share: 2_500}, {Version: "v3"}}}},
			Routes: []model.Route{{Name: "r", Service: "s", PathPrefix: "/r", TargetLatencyMS: 400},
				{Name: "p", Service: "s", PathPrefix: "/p", Public: true}},
			Tenants: []model.Tenant{{Name: "a", Keys: []model.KeyDigest{model.DigestKey("key-a")}, Priority: &priority}, {Name: "b"}},
		},
		Targets: []model.Target{
			target("busy", "x", "v1", model.TargetReady), target("cold", "x", "v1", model.TargetReady),
			target("down", "x", "v1", model.TargetDown), target("evacuated", "z", "v1", model.TargetReady),
			target("far", "y", "v1", model.TargetReady), target("idle", "x", "v1", model.TargetReady),
			target("leaving", "x", "v1", model.TargetReady), target("next", "x", "v2", model.TargetReady),
			target("other", "x", "v2", model.TargetReady), target("shareless", "x", "v3", model.TargetReady),
			target("suspect", "x", "v1", model.TargetReady),
		}}
	loads := explanation.Loads{
		"busy": load(5, 50*time.Millisecond), "cold": load(0, 50*time.Millisecond), "far": load(0, 50*time.Millisecond),
		"idle": load(1, 60*time.Millisecond), "leaving": load(0, 50*time.Millisecond), "next": load(1, 50*time.Millisecond),
		"other": load(1, 52*time.Millisecond), "suspect": load(0, 50*time.Millisecond),
	}
	change := func(daemon model.DaemonID, f func(*explanation.Load)) { l := loads[daemon]; f(&l); loads[daemon] = l }
	change("cold", func(l *explanation.Load) { l.Cold = true })
	change("suspect", func(l *explanation.Load) { l.Suspect = true })
	change("leaving", func(l *explanation.Load) { l.Leaving = true })
	return explanation.Snapshot{
		Table: routing.NewTable(view), Confirmation: explanation.Confirmation{Serves: true},
		Loads:   func(model.RouteName) explanation.Loads { return loads },
		IsBrief: func(time.Duration, time.Duration) bool { return false },
	}
}

// Guards against chances that differ from the choices of real requests, and against a wrong reason for a target without any.
func TestChancesFitRealChoices(t *testing.T) {
	is := is.New(t)
	s, random := newSnapshot(), rand.NewPCG(3, 4)
	e := explanation.Explain(s, explanation.Request{Method: "GET", Path: "/r", Authorization: []string{"Token key-a"}}, rand.NewPCG(1, 2))
	is.True(e.Detailed)
	is.Equal(e.Tenant.Name, model.TenantName("a"))
	is.Equal(e.Priority, 3)
	const calls = 10_000
	chosen, counter := map[model.DaemonID]int{}, random.Uint64()>>1
	for range calls {
		counter++
		service, rotation := s.Table.SelectService(e.Route, counter)
		version, _ := service.SelectVersion(rotation)
		choice, ok := version.SelectByExpectedLoss(s.Loads("r"), random, routing.Selection{Remaining: e.Route.TargetLatency})
		is.True(ok)
		chosen[choice.Target.Daemon]++
	}
	leftOut, sum := map[model.DaemonID]string{}, 0.0
	for _, c := range e.Candidates {
		if got := float64(chosen[c.Target.Daemon]) / calls; math.Abs(got-c.Chance) > 0.02 {
			t.Errorf("%s: chance %.4f, chosen %.4f", c.Target.Daemon, c.Chance, got)
		}
		sum += c.Chance
		if c.LeftOut != "" {
			leftOut[c.Target.Daemon] = c.LeftOut
		}
	}
	is.True(math.Abs(sum-1) < 1e-9)
	is.Equal(leftOut, map[model.DaemonID]string{
		"down": "not-ready", "evacuated": "evacuated", "far": "higher-loss", "leaving": "leaving", "shareless": "no-share",
		"suspect": "suspect",
	})
}

// Guards against an answer that tells somebody without a valid key more than whether the request is refused.
func TestOnlyHoldersOfKeysLearnMore(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		unconfirmed     bool
		want            explanation.Explanation
	}{
		{"no route", "/x", "key-a", false, explanation.Explanation{Reason: routing.NoRoute}},
		{"no key", "/r", "", false, explanation.Explanation{Reason: explanation.KeyUnknown}},
		{"unknown key", "/r", "key-b", false, explanation.Explanation{Reason: explanation.KeyUnknown}},
		{"unconfirmed", "/r", "key-a", true, explanation.Explanation{Reason: explanation.Unconfirmed}},
		{"public route without a key", "/p", "", false, explanation.Explanation{Public: true}},
		{"public route with a key that may be revoked", "/p", "key-a", true, explanation.Explanation{Public: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot()
			s.Confirmation.Serves = !c.unconfirmed
			r := explanation.Request{Method: "GET", Path: c.path, Authorization: []string{"Token " + c.key}}
			is.New(t).Equal(explanation.Explain(s, r, rand.NewPCG(1, 2)), c.want)
		})
	}
}

// Guards against an explanation that names a target although requests are refused.
func TestRefusedForLackOfTargets(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	view := *s.Table.View
	view.Evacuated = []model.DataCentre{"x", "y", "z"}
	s.Table = routing.NewTable(&view)
	e := explanation.Explain(s, explanation.Request{Method: "GET", Path: "/r", Authorization: []string{"Token key-a"}}, rand.NewPCG(1, 2))
	is.Equal(e.Reason, routing.NoTarget)
	is.Equal(e.Candidates[0].LeftOut, explanation.LeftOutEvacuated)
}

func BenchmarkExplain(b *testing.B) {
	s := newSnapshot()
	r := explanation.Request{Method: "GET", Path: "/r", Authorization: []string{"Token key-a"}}
	for b.Loop() {
		explanation.Explain(s, r, rand.NewPCG(1, 2))
	}
}

// Guards against an explanation that ignores the deadline, and against one that applies it to calls that need not wait: brief ones, and
// those on a route of which no target has reported a time.
func TestRefusedForTheDeadline(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	loads := s.Loads("r")
	for daemon := range loads {
		loads[daemon] = load(4_000, 50*time.Millisecond)
	}
	r := explanation.Request{Method: "GET", Path: "/r", Authorization: []string{"Token key-a"}}
	is.Equal(explanation.Explain(s, r, rand.NewPCG(1, 2)).Reason, explanation.DeadlineTooShort)
	isBrief := s.IsBrief
	s.IsBrief = func(time.Duration, time.Duration) bool { return true }
	is.Equal(explanation.Explain(s, r, rand.NewPCG(1, 2)).Reason, routing.Found)
	s.IsBrief = isBrief
	for daemon, known := range loads {
		known.ExecutionTime = 0
		loads[daemon] = known
	}
	is.Equal(explanation.Explain(s, r, rand.NewPCG(1, 2)).Reason, routing.Found)
}
