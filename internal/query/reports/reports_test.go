package reports

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// Each case guards against a change that is reported as in force although a daemon may not have it.
func TestInForceIsNotReportedTooEarly(t *testing.T) {
	both := []model.Target{{Daemon: "a", State: model.TargetReady}, {Daemon: "b", State: model.TargetDraining}}
	cases := map[string]struct {
		status *message.StatusReply
		want   Answer
	}{
		"status of a daemon that is no leader": {
			&message.StatusReply{Targets: both, InForce: model.InForce{Number: 7, Live: 1}}, Unknown},
		"the other daemon is silent": {&message.StatusReply{Targets: both, InForce: model.InForce{Number: 7, Live: 1,
			Silent: []model.SilentDaemon{{Daemon: "b"}}}}, Yes},
		"status not known":             {nil, Unknown},
		"a daemon has an older number": {&message.StatusReply{InForce: model.InForce{Number: 6, Live: 3}}, No},
		"older number, and a data centre sends no report": {
			&message.StatusReply{InForce: model.InForce{Number: 6, Live: 3, Blind: []model.DataCentre{"x"}}}, No},
		"a data centre sends no report": {
			&message.StatusReply{InForce: model.InForce{Number: 7, Live: 3, Blind: []model.DataCentre{"x"}}}, Unknown},
		"no live daemon":                    {&message.StatusReply{InForce: model.InForce{Number: 7}}, Unknown},
		"every live daemon acknowledged it": {&message.StatusReply{InForce: model.InForce{Number: 7, Live: 3}}, Yes},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(inForce(c.status, 7), c.want)
		})
	}
}

// Guards against a finished move that is reported as not in force until all daemons have the number of the finishing write.
func TestFinishedMoveIsInForce(t *testing.T) {
	c := &model.Configuration{Moves: []model.Move{{Phase: model.PhaseRunning, Number: 7}, {Phase: model.PhaseDone, Number: 7}}}
	rows := Moves(c, &message.StatusReply{InForce: model.InForce{Number: 6, Live: 3}})
	is.New(t).Equal([]Answer{rows[0].InForce, rows[1].InForce}, []Answer{No, Yes})
}

// Guards against a silent daemon that is reported in its last announced state, or not at all.
func TestSilentDaemonsAreListedAsSilent(t *testing.T) {
	is := is.New(t)
	since := time.Unix(100, 0).UTC()
	rows := Daemons(&message.StatusReply{
		Targets: []model.Target{{Daemon: "a", DataCentre: "x", State: model.TargetReady}},
		InForce: model.InForce{
			Silent:   []model.SilentDaemon{{Daemon: "a", DataCentre: "x", Since: since}, {Daemon: "b", DataCentre: "x", Since: since}},
			Refusals: []model.Refusal{{Daemon: "a", Number: 3, Reason: "old"}, {Daemon: "a", Number: 5, Reason: "new"}},
		},
	})
	is.Equal(len(rows), 2)
	is.Equal([]model.TargetState{rows[0].State, rows[1].State}, []model.TargetState{model.TargetSilent, model.TargetSilent})
	is.Equal(rows[0].Since, since)
	is.Equal(rows[0].Reason, "new")
}

// Guards against an empty event feed during an outage of the platform, which a dashboard would show as "nothing happened":
// the configuration is then a copy without events.
func TestEventsOfACopyAreUnknown(t *testing.T) {
	is := is.New(t)
	_, ok := Events(&model.Configuration{Number: 7}, 0)
	is.True(!ok)
	_, ok = Events(&model.Configuration{}, 0)
	is.True(ok) // no plan was confirmed yet, so there are no events
}

// Each case guards against a feed that skips an event without setting Missed, or repeats an event.
func TestEventFeedHidesNoGap(t *testing.T) {
	kept := &model.Configuration{LastEvent: 12, Events: []model.MoveEvent{{Token: 10}, {Token: 11}, {Token: 12}}}
	cases := map[string]struct {
		after  uint64
		tokens []uint64
		next   uint64
		missed bool
	}{
		"events before the first kept one are gone":   {3, []uint64{10, 11, 12}, 12, true},
		"continues right before the first kept event": {9, []uint64{10, 11, 12}, 12, false},
		"continues within":                            {11, []uint64{12}, 12, false},
		"nothing new":                                 {12, nil, 12, false},
		"token of a newer configuration than here":    {15, nil, 15, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			feed, ok := Events(kept, c.after)
			is.True(ok)
			var tokens []uint64
			for _, e := range feed.Events {
				tokens = append(tokens, e.Token)
			}
			is.Equal(tokens, c.tokens)
			is.Equal(feed.Next, c.next)
			is.Equal(feed.Missed, c.missed)
		})
	}
}

// Guards against a plan that is reported as open although confirming it would be refused or would have no effect.
func TestPlanStates(t *testing.T) {
	c := &model.Configuration{
		Services: []model.Service{{Name: "s", Changed: 7}, {Name: "u", Changed: 2}},
		Moves:    []model.Move{{ID: "moved"}},
		Events:   []model.MoveEvent{{Move: "changed"}},
	}
	change := &model.Change{Routes: []model.Route{{Service: "s"}}}
	cases := map[string]struct {
		plan model.Plan
		want PlanState
	}{
		"service unchanged":               {model.Plan{Base: 5, Intent: model.Intent{Service: "u"}}, PlanOpen},
		"service changed later":           {model.Plan{Base: 5, Intent: model.Intent{Service: "s"}}, PlanOutdated},
		"service of a route changed":      {model.Plan{Base: 5, Change: change}, PlanOutdated},
		"move exists":                     {model.Plan{ID: "moved", Base: 5, Intent: model.Intent{Service: "s"}}, PlanConfirmed},
		"change in the event feed":        {model.Plan{ID: "changed", Base: 5, Change: change}, PlanConfirmed},
		"marked after the feed forgot it": {model.Plan{Base: 5, Change: change, Confirmed: &model.Confirmation{}}, PlanConfirmed},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Plans(c, []model.Plan{k.plan})[0].State, k.want)
		})
	}
	is.New(t).Equal(Plans(nil, []model.Plan{{}})[0].State, PlanUnknown)
}

// Guards against a metric label that is lost because the operators renamed another label.
func TestMoveSamplesUseTheOperatorsNames(t *testing.T) {
	c := &model.Configuration{
		Services: []model.Service{{Name: "s", Versions: []model.VersionShare{
			{Version: "v1", Share: 7500}, {Version: "v2", Share: 2500},
		}}},
		Moves:     []model.Move{{ID: "m", Service: "s", From: "v1", To: "v2", Phase: model.PhaseRunning}},
		Dashboard: &model.Dashboard{MoveMetric: "rollout", Labels: map[string]string{"service": "svc"}},
	}
	want := []MoveSample{{Metric: "rollout", Labels: []string{"move", "svc", "from", "to", "phase"},
		Values: []string{"m", "s", "v1", "v2", "running"}, Share: 0.25}}
	if diff := cmp.Diff(want, MoveSamples(c, nil)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a held move that is reported without a reason, such as too few calls to judge.
func TestHeldMoveHasAReason(t *testing.T) {
	is := is.New(t)
	c := &model.Configuration{Moves: []model.Move{
		{ID: "a", Phase: model.PhaseRunning}, {ID: "b", Phase: model.PhaseWithdrawn, Reason: "errors"},
	}}
	s := &message.StatusReply{Holds: []message.Hold{{Move: "a", Reason: "too few calls"}, {Move: "b", Reason: "old"}}}
	rows := Moves(c, s)
	is.Equal(rows[0].Reason, "held: too few calls")
	is.Equal(rows[1].Reason, "errors")
	is.Equal(Moves(c, nil)[0].Reason, "")
}
