package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// loads is a routing.LoadProvider with fixed loads by daemon.
type loads map[model.DaemonID]routing.TargetLoad

func (l loads) Load(t *model.Target) routing.TargetLoad { return l[t.Daemon] }

// versionWithTargets returns a version with a ready target for each daemon. Targets of daemons whose name starts with n
// are in the own data centre "near", the others in the data centre "far" of the same region.
func versionWithTargets(t *testing.T, daemons ...model.DaemonID) *routing.Version {
	t.Helper()
	view := &model.View{DataCentre: "near", Region: "r", Configuration: &model.Configuration{
		Services: []model.Service{{Name: "s", Versions: []model.VersionShare{{Version: "v", Share: model.FullShare}}}},
	}}
	for _, d := range daemons {
		dc := model.DataCentre("far")
		if d[0] == 'n' {
			dc = "near"
		}
		view.Targets = append(view.Targets, model.Target{Daemon: d, Service: "s", Version: "v", DataCentre: dc, Region: "r",
			State: model.TargetReady, Slots: 10})
	}
	v, reason := routing.NewTable(view).Service("s").SelectVersion(0)
	if reason != routing.Found {
		t.Fatal(reason)
	}
	return v
}

const ms = time.Millisecond

func selection(tried []model.DaemonID) routing.Selection {
	return routing.Selection{Tried: tried, Remaining: 400 * ms}
}

func idleLoad(executionTime time.Duration) routing.TargetLoad {
	return routing.TargetLoad{Slots: 10, ExecutionTime: executionTime, MeanExecutionTime: executionTime}
}

func busyLoad(executionTime time.Duration, outstanding float64) routing.TargetLoad {
	l := idleLoad(executionTime)
	l.Outstanding = outstanding
	return l
}

// Guards against calls to another data centre without an advantage, and against late calls in the own data centre although
// a target in another one would answer in time.
func TestExpectedLossPrefersTargetsInTime(t *testing.T) {
	failing := idleLoad(100 * ms)
	failing.FailureRate = 0.5
	suspect := idleLoad(50 * ms)
	suspect.Suspect = true
	cases := []struct {
		name string
		l    loads
		want model.DaemonID
	}{
		{"the own data centre is as good", loads{"near": idleLoad(100 * ms), "far": idleLoad(100 * ms)}, "near"},
		{"a faster target is not needed", loads{"near": idleLoad(100 * ms), "far": idleLoad(60 * ms)}, "near"},
		{"the near target would be late", loads{"near": idleLoad(380 * ms), "far": idleLoad(100 * ms)}, "far"},
		{"the near target is full", loads{"near": busyLoad(100*ms, 45), "far": idleLoad(100 * ms)}, "far"},
		{"the near target fails calls", loads{"near": failing, "far": idleLoad(100 * ms)}, "far"},
		{"the near target is suspect", loads{"near": suspect, "far": idleLoad(300 * ms)}, "far"},
		{"both are late, the far one less", loads{"near": busyLoad(100*ms, 400), "far": busyLoad(100*ms, 100)}, "far"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := versionWithTargets(t, "near", "far")
			got, ok := v.SelectByExpectedLoss(c.l, rand.NewPCG(1, 1), selection(nil))
			is.True(ok)
			is.Equal(got.Target.Daemon, c.want)
			is.True(got.WaitLimit > 0)
		})
	}
}

// Guards against a new target that receives no calls because no execution time was reported for it, and against a target
// that was slow once and is never called again.
func TestUnreportedTargetsReceiveCalls(t *testing.T) {
	is := is.New(t)
	v := versionWithTargets(t, "near", "new")
	got := map[model.DaemonID]int{}
	random := rand.NewPCG(1, 1)
	for range 100 {
		choice, _ := v.SelectByExpectedLoss(loads{"near": idleLoad(60 * ms), "new": {Slots: 10, MeanExecutionTime: 100 * ms}},
			random, selection(nil))
		got[choice.Target.Daemon]++
	}
	is.True(got["new"] > 20)
	slowOnce := idleLoad(2 * time.Second)
	slowOnce.ReportAge = time.Minute
	choice, _ := v.SelectByExpectedLoss(loads{"near": busyLoad(60*ms, 12), "new": slowOnce}, random, selection(nil))
	is.Equal(choice.Target.Daemon, model.DaemonID("new"))
}

// Guards against a target that is tried twice, and against a selected target when all have been tried.
func TestTriedTargetsAreNotSelected(t *testing.T) {
	is := is.New(t)
	v := versionWithTargets(t, "near", "far")
	l := loads{"near": idleLoad(60 * ms), "far": idleLoad(60 * ms)}
	choice, ok := v.SelectByExpectedLoss(l, rand.NewPCG(1, 1), selection([]model.DaemonID{"near"}))
	is.True(ok)
	is.Equal(choice.Target.Daemon, model.DaemonID("far"))
	is.Equal(choice.WaitLimit, time.Duration(0)) // there is no other target
	_, ok = v.SelectByExpectedLoss(l, rand.NewPCG(1, 1), selection([]model.DaemonID{"near", "far"}))
	is.True(!ok)
}

// Guards against requests that match the route of another host or of a longer path, and against a match of a prefix that
// the path does not start with.
func TestMatchUsesHostAndLongestPrefix(t *testing.T) {
	is := is.New(t)
	c := &model.Configuration{Services: []model.Service{{Name: "s"}, {Name: "o"}}, Routes: []model.Route{
		{Name: "a", Service: "s", Host: "h.example", PathPrefix: "/a/"},
		{Name: "ab", Service: "s", Host: "h.example", PathPrefix: "/a/b/"},
		{Name: "other", Service: "o", Host: "o.example", PathPrefix: "/a/"},
		{Name: "any", Service: "o", PathPrefix: "/any"},
	}}
	table := routing.NewTable(&model.View{Configuration: c})
	for _, m := range []struct {
		host, path string
		want       model.RouteName
	}{
		{"h.example", "/a/x", "a"}, {"h.example", "/a/", "a"}, {"h.example", "/a/b/c", "ab"}, {"o.example", "/a/b/c", "other"},
		{"h.example", "/a", ""}, {"h.example", "/ab/", ""}, {"n.example", "/a/x", ""}, {"n.example", "/any/x", "any"},
	} {
		r, reason := table.Match(m.host, "GET", m.path)
		if m.want == "" {
			is.Equal(reason, routing.NoRoute)
			continue
		}
		is.Equal(reason, routing.Found)
		is.Equal(r.Name, m.want)
	}
}

// Guards against a split whose services do not receive exactly their weights within a few requests, and against version
// shares that are wrong because the split and the versions are selected by the same counter.
func TestSplitIsExact(t *testing.T) {
	is := is.New(t)
	c := &model.Configuration{
		Services: []model.Service{
			{Name: "s", Versions: []model.VersionShare{{Version: "v1", Share: 9000}, {Version: "v2", Share: 1000}}},
			{Name: "o"},
		},
		Routes: []model.Route{{Name: "r", Host: "h", PathPrefix: "/",
			Split: []model.ServiceWeight{{Service: "s", Weight: 50}, {Service: "o", Weight: 50}}}},
	}
	view := &model.View{Configuration: c}
	for _, v := range []model.VersionName{"v1", "v2"} {
		view.Targets = append(view.Targets, model.Target{Daemon: model.DaemonID(v), Service: "s", Version: v, State: model.TargetReady})
	}
	table := routing.NewTable(view)
	r, _ := table.Match("h", "GET", "/x")
	services, versions := map[model.ServiceName]int{}, map[model.VersionName]int{}
	for counter := uint64(12345); counter < 12345+200; counter++ {
		s, nth := table.SelectService(r, counter)
		services[s.Name]++
		if v, reason := s.SelectVersion(nth); reason == routing.Found {
			versions[v.Version]++
		}
	}
	is.Equal(services, map[model.ServiceName]int{"s": 100, "o": 100})
	is.Equal(versions, map[model.VersionName]int{"v1": 90, "v2": 10})
}
