package plans

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/model"
	_ "sniperail.example/sniperail/internal/testseed"
)

var now = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// request returns a request to move the service issuance from v1 to v2 within a time, at a load of some calls per second. The
// version v3 is withdrawn.
func request(rate float64, length time.Duration) Request {
	cfg := &model.Configuration{
		Number: 7,
		Services: []model.Service{{Name: "issuance", Versions: []model.VersionShare{
			{Version: "v1", Share: model.FullShare}, {Version: "v2"}, {Version: "v3"},
		}}},
		Routes:    []model.Route{{Name: "issue", Service: "issuance", PathPrefix: "/issue"}},
		Withdrawn: []model.VersionRef{{Service: "issuance", Version: "v3"}},
	}
	r := Request{
		Configuration: cfg, Now: now, ID: "p1", By: "operator",
		Intent: model.Intent{Service: "issuance", To: "v2", By: now.Add(length)},
		Load:   map[model.RouteName]Load{"issue": {CallsPerSecond: rate, MeanLatency: 20 * time.Millisecond}},
	}
	for i, v := range []model.VersionName{"v1", "v1", "v2", "v2"} {
		r.Targets = append(r.Targets, model.Target{
			Daemon: model.DaemonID("d" + string(rune('4'-i))), Service: "issuance", Version: v, Slots: 10, State: model.TargetReady,
		})
	}
	return r
}

// Guards against a plan for an invalid intent, and against a refusal that names the wrong field.
func TestForIntentRefusesWithFieldAndReason(t *testing.T) {
	cases := map[string]struct {
		edit          func(*Request)
		field, reason string
	}{
		"unknown service": {func(r *Request) { r.Intent.Service = "none" }, "service", "does not exist"},
		"unknown version": {func(r *Request) { r.Intent.To = "v9" }, "to", "does not exist"},
		"withdrawn":       {func(r *Request) { r.Intent.To = "v3" }, "to", "withdrawn"},
		"has all calls":   {func(r *Request) { r.Intent.To = "v1" }, "to", "already has all calls"},
		"time is past":    {func(r *Request) { r.Intent.By = now }, "by", "in the past"},
		"negative watch":  {func(r *Request) { r.Intent.WatchSeconds = -1 }, "watchSeconds", "negative"},
		"negative calls":  {func(r *Request) { r.Intent.MinCalls = -1 }, "minCalls", "negative"},
		"already moving": {func(r *Request) {
			r.Configuration.Moves = []model.Move{{ID: "p0", Service: "issuance", Phase: model.PhasePaused}}
		}, "service", `already under move "p0"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := request(100, time.Hour)
			c.edit(&r)
			_, problems := ForIntent(r)
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Field, c.field)
			is.True(strings.Contains(problems[0].Reason, c.reason))
		})
	}
}

// Guards against two moves of one service in one declaration.
func TestDuplicatesNamesTheLaterIntent(t *testing.T) {
	is := is.New(t)
	problems := Duplicates([]model.Intent{{Service: "a"}, {Service: "b"}, {Service: "a"}})
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Field, "intents[2].service")
}

// Guards against a plan that is called feasible although the load or the slots do not suffice for it.
func TestForIntentReportsWhatCannotBeMet(t *testing.T) {
	is := is.New(t)
	plan, _ := ForIntent(request(100, time.Hour))
	is.True(plan.Feasible)
	is.Equal(plan.Latest, now.Add(time.Hour))
	is.Equal(plan.Daemons[0], model.DaemonID("d1"))

	plan, _ = ForIntent(request(0.2, time.Minute))
	is.True(!plan.Feasible)
	is.True(plan.Latest.After(now.Add(time.Minute)))
	is.True(strings.Contains(plan.Note, "0.2 calls/s"))

	plan, _ = ForIntent(request(0, time.Minute))
	is.True(!plan.Feasible)
	is.True(plan.Latest.IsZero())

	crowded := request(2000, time.Hour)
	plan, _ = ForIntent(crowded)
	is.True(!plan.Feasible)
	is.True(strings.Contains(plan.Note, `version "v2" has 20 slots ready, all calls need 50`))
	is.True(strings.Contains(plan.Note, `version "v1" has 20 slots ready`))

	crowded.Load = map[model.RouteName]Load{"issue": {CallsPerSecond: 100}}
	crowded.Targets[2].State, crowded.Targets[3].State = model.TargetStarting, model.TargetDown
	plan, _ = ForIntent(crowded)
	is.True(strings.Contains(plan.Note, `version "v2" has 0 slots ready`))
}

// Guards against steps whose shares fall, that end after the requested time, or that require more calls than the load
// brings.
func TestStepsRiseAndFitTheTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 2000).Draw(t, "rate")
		length := time.Duration(rapid.IntRange(5, 7200).Draw(t, "seconds")) * time.Second
		r := request(rate, length)
		r.Intent.WatchSeconds = rapid.IntRange(0, 120).Draw(t, "watch")
		r.Intent.MinCalls = rapid.SampledFrom([]int{0, 0, 5, 500}).Draw(t, "minCalls")
		plan, problems := ForIntent(r)
		if len(problems) > 0 || len(plan.Steps) < 2 || plan.Steps[len(plan.Steps)-1].Share != model.FullShare {
			t.Fatalf("problems %v, steps %v", problems, plan.Steps)
		}
		for i, s := range plan.Steps[1:] {
			before := plan.Steps[i]
			if s.Share <= before.Share || s.Earliest.Before(before.Earliest) || s.MinCalls < 1 {
				t.Fatalf("step %d: %+v after %+v", i+1, s, before)
			}
			expected := rate * float64(before.Share) / float64(model.FullShare) * s.Earliest.Sub(before.Earliest).Seconds()
			if plan.Feasible && float64(s.MinCalls) > expected {
				t.Fatalf("step %d requires %d calls, but only %.1f are expected", i+1, s.MinCalls, expected)
			}
		}
		end := plan.Steps[len(plan.Steps)-1].Earliest.Add(time.Duration(plan.WatchSeconds) * time.Second)
		if plan.Feasible && end.After(r.Intent.By) {
			t.Fatalf("watch ends %s after %s", end, r.Intent.By)
		}
	})
}
