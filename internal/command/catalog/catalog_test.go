package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// applyBound is the time in which a change must be in force on every daemon.
const applyBound = 2 * time.Second

// Guards against daemons that miss a change, and against calls to the platform that grow with the daemons.
func TestChangesReachAllDaemons(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 30)
	w.ready("v1")
	is.Equal(w.numbers(), map[model.Number]int{1: 30})
	for _, n := range w.order {
		is.True(n.view.Ready)
		is.Equal(len(n.view.Targets), 30)
		n.lists = 0
	}
	for number := model.Number(2); number <= 11; number++ {
		w.configure(number, "/a/", "/b/")
		w.run(applyBound)
		is.Equal(w.numbers(), map[model.Number]int{number: 30})
	}
	lists := 0
	for _, n := range w.order {
		lists += n.lists
	}
	is.True(lists < 60) // one list in turn each 0.7 s, and none for each change and daemon
}

// Guards against changes that are missed because every watch stays silent.
func TestSilentWatches(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 9)
	w.ready("v1")
	for _, n := range w.order {
		n.deaf = true
	}
	w.configure(7, "/a/", "/new/")
	w.run(applyBound)
	is.Equal(w.numbers(), map[model.Number]int{7: 9})
}

// Guards against changes that are late because the daemons that watch the store were just lost.
func TestWatchersDie(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 9)
	w.ready("v1")
	dead := 0
	for _, n := range w.order {
		if len(n.watches) > 0 {
			n.down = true
			dead++
		}
	}
	is.Equal(dead, 3)
	w.configure(7, "/a/")
	w.run(applyBound + 700*time.Millisecond) // one turn more for a dead daemon's
	is.Equal(w.numbers(), map[model.Number]int{7: 6})
}

// Guards against a return to an older configuration by a late copy, and against a bad one that is applied in part.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.ready("v1")
	w.configure(9, "/a/")
	w.run(applyBound)
	w.configure(5, "/old/")
	w.run(applyBound)
	is.Equal(w.numbers(), map[model.Number]int{9: 3})
	w.put("op/configuration", model.Configuration{Number: 10, Routes: []model.Route{{Name: "r", Service: "nobody", PathPrefix: "/x/"}}})
	w.run(applyBound)
	is.Equal(w.numbers(), map[model.Number]int{9: 3})
}

// Guards against a daemon that cannot serve because it started while the platform was away, or that serves before it knows
// the configuration.
func TestStartWhileThePlatformIsAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.ready("v1")
	n := w.start("d01", []string{"gone:1", "d02:1"})
	n.away = true
	w.handle(n, effect.Wake{})
	is.True(!n.view.Ready)
	w.run(4 * time.Second)
	is.True(n.view.Ready)
	is.Equal(n.view.Configuration.Number, model.Number(1))
	is.Equal(len(n.view.Targets), 3) // its own target has not reported yet
	w.configure(3, "/a/", "/b/")
	w.run(applyBound)
	is.Equal(n.view.Configuration.Number, model.Number(3))
}

// Guards against an acknowledgement of a leaving target that a daemon which starts again does not know of, and against one
// that comes too late for the target.
func TestLeavingIsAnsweredOnceItIsStored(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.ready("v1")
	n := w.order[0]
	token := w.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 2, Version: "v1", State: model.TargetDraining})
	is.Equal(n.answers[token].Code, model.OutcomeApplied)
	is.Equal(n.view.Local.State, model.TargetDraining)
	stored := w.store.Do(store.Call{Kind: store.KindGet, Key: store.PrefixTargets + "d00"}).Entries
	target, err := document.JSON{}.DecodeTarget(stored[0].Value)
	is.NoErr(err)
	is.Equal(target.State, model.TargetDraining)

	n = w.order[1]
	n.away = true
	token = w.report(n, model.TargetReport{Instance: "i1", Born: 1, Seq: 2, Version: "v1", State: model.TargetDraining})
	_, answered := n.answers[token]
	is.True(!answered)
	is.Equal(n.view.Local.State, model.TargetDraining) // no call is sent from now on
	w.run(700 * time.Millisecond)
	is.Equal(n.answers[token].Code, model.OutcomeApplied)
}

// Guards against late, repeated and foreign reports that bring back a target or name a wrong one.
func TestLateReports(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.ready("v1")
	n := w.order[0]
	ready := model.TargetReport{Instance: "i0", Born: 1, Seq: 9, Version: "v1", State: model.TargetReady}
	w.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 8, Version: "v1", State: model.TargetDraining})
	w.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 7, Version: "v1", State: model.TargetReady})
	is.Equal(n.view.Local.State, model.TargetDraining)
	w.report(n, model.TargetReport{Instance: "i0", State: model.TargetGone})
	w.report(n, ready)
	is.Equal(n.view.Local.State, model.TargetGone) // the run has ended
	is.Equal(len(n.view.Targets), 0)
	foreign := ready
	foreign.Service = "schools"
	token := w.report(n, foreign)
	is.Equal(n.answers[token].Code, model.OutcomeInvalid)
	again := ready
	again.Born, again.Seq = 2, 1
	w.report(n, again)
	is.Equal(n.view.Local.State, model.TargetReady) // the same name, started again
	late := model.TargetReport{Instance: "i0", Born: 1, State: model.TargetGone}
	w.report(n, late)
	is.Equal(n.view.Local.State, model.TargetReady)
}

// Guards against calls to a target that said that it leaves to a daemon which had just started and did not know it: a late
// report of the same run must not bring it back.
func TestLeavingOfAnUnknownRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.ready("v1")
	n := w.start("d00", nil)
	w.run(time.Second)
	token := w.report(n, model.TargetReport{Instance: "i0", State: model.TargetGone})
	is.Equal(n.answers[token].Code, model.OutcomeApplied)
	w.report(n, model.TargetReport{Instance: "i0", Born: 1, Seq: 9, Version: "v1", State: model.TargetReady})
	is.True(n.view.Local.State != model.TargetReady)
	again := model.TargetReport{Instance: "i0", Born: w.now.Add(time.Second).UnixMilli(), Seq: 1, Version: "v1", State: model.TargetReady}
	w.report(n, again)
	is.Equal(n.view.Local.State, model.TargetReady) // started after that
}

// Guards against a target that is lost for good because the platform took its key.
func TestRevokedAnnouncementReturns(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.ready("v1")
	w.store.Expire(store.PrefixTargets + "d02")
	w.run(5 * time.Second)
	is.Equal(len(w.store.Do(store.Call{Kind: store.KindGet, Key: store.PrefixTargets + "d02"}).Entries), 1)
	for _, n := range w.order {
		is.Equal(len(n.view.Targets), 4)
	}
}

// Guards against a dead daemon whose target is selected for ever.
func TestDeadDaemonLeavesTheRoster(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.ready("v1")
	w.order[3].down = true
	w.store.Expire(store.PrefixTargets + "d03")
	w.run(8 * time.Second)
	for _, n := range w.order[:3] {
		is.Equal(len(n.view.Targets), 3)
	}
}

// Guards against a daemon that misses one announcement and never asks for it again, because later ones came first.
func TestExchangeFindsEarlierEntries(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 6)
	w.ready("v1")
	n := w.order[5]
	n.down = true
	w.report(w.order[0], model.TargetReport{Instance: "i0", Born: 1, Seq: 5, Version: "v1", State: model.TargetDraining})
	n.down = false
	n.away = true
	w.report(w.order[1], model.TargetReport{Instance: "i1", Born: 1, Seq: 5, Version: "v1", State: model.TargetDraining})
	w.run(5 * time.Second)
	for _, target := range n.view.Targets[:2] {
		is.Equal(target.State, model.TargetDraining)
	}
}

// Guards against an exchange that sends everything because one entry differs: while targets come and go, each daemon would
// receive all announcements each two seconds.
func TestExchangeSendsWhatDiffers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 64)
	w.ready("v1")
	n := w.order[63]
	n.away, n.down = true, true
	w.report(w.order[0], model.TargetReport{Instance: "i0", Born: 1, Seq: 5, Version: "v1", State: model.TargetDraining})
	n.down = false
	n.received = 0
	w.run(5 * time.Second)
	is.Equal(n.view.Targets[0].State, model.TargetDraining)
	is.True(n.received > 0 && n.received <= 16) // of 64 announcements, those of the part that differs
}

// Guards against a target that is idle after its daemon was started again until it reports by itself, and against one that is
// used although another run answers, or it leaves.
func TestRestartAsksTheTarget(t *testing.T) {
	cases := []struct {
		name    string
		state   model.TargetState
		stopped bool
		healthy model.InstanceID
		want    model.TargetState
	}{
		{"the same run", model.TargetReady, false, "i2", model.TargetReady},
		{"another run", model.TargetReady, false, "i9", model.TargetStarting},
		{"no answer, as from one that leaves", model.TargetReady, false, "", model.TargetStarting},
		{"it was leaving", model.TargetDraining, false, "i2", model.TargetStarting},
		{"the daemon was stopped in order", model.TargetReady, true, "i2", model.TargetReady},
		{"the daemon was stopped while it was leaving", model.TargetDraining, true, "i2", model.TargetStarting},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 3)
			w.ready("v1")
			w.report(w.order[2], model.TargetReport{Instance: "i2", Born: 1, Seq: 2, Version: "v1", State: tc.state})
			if tc.stopped {
				w.handle(w.order[2], effect.Stopping{})
				is.Equal(w.order[2].view.Local.State, model.TargetDraining)
			}
			n := w.start("d02", nil)
			n.healthy = tc.healthy
			w.run(200 * time.Millisecond)
			is.Equal(n.view.Local.State, tc.want)
			// What the target says by itself goes on from there.
			w.report(n, model.TargetReport{Instance: "i2", Born: 1, Seq: 3, Version: "v1", State: model.TargetDraining})
			is.Equal(n.view.Local.State, model.TargetDraining)
		})
	}
}
