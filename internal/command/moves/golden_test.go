package moves_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"

	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/command/moves"
	"sniperail.example/sniperail/internal/model"
)

// between returns bad behaviour during an interval and healthy behaviour otherwise.
func between(from, to int, bad behaviour) behaviour {
	return func(second int, route model.RouteName, share float64) (failure, slow float64) {
		if second >= from && second < to {
			return bad(second, route, share)
		}
		return healthy(second, route, share)
	}
}

func pause(s *simulation, second int) { s.command(second, configuration.Pause{Move: moveID}) }

func pauseAndResume(s *simulation, second int) {
	switch second {
	case 60:
		pause(s, second)
	case 160:
		s.command(second, configuration.Resume{Move: moveID})
	}
}

// setStateOfFirst returns an action that changes the state of the first target of a version.
func setStateOfFirst(version model.VersionName, state model.TargetState) func(s *simulation) {
	return func(s *simulation) {
		for i := range s.targets {
			if s.targets[i].Version == version {
				s.targets[i].State = state
				return
			}
		}
	}
}

// scenarios are simulated moves by the name of their golden file. The comment at each is the wrong decision that it guards
// against.
var scenarios = map[string]scenario{
	// A good version that is not done by the deadline.
	"good": {},
	// A move of 15 s with few calls that is not done by the deadline.
	"demo": {seconds: 15, callsPerSecond: 25, watch: 2},
	// A further step of a version that fails from its first call.
	"bad-at-once": {newVersion: failing(0.5)},
	// A fault that begins after several steps and does not lead to a withdrawal.
	"bad-later": {newVersion: between(220, 9999, failing(0.3))},
	// A fault that begins at 100%, where the old version has no calls to compare with, and does not lead to a
	// withdrawal.
	"bad-in-watch": {newVersion: between(255, 9999, failing(0.3))},
	// A version with four times the latency and no more failures that is not withdrawn.
	"slow": {newVersion: func(int, model.RouteName, float64) (failure, slow float64) { return 0.002, 4 }},
	// A good version that is withdrawn or delayed while the old version fails.
	"old-bad": {oldVersion: between(50, 250, failing(0.4))},
	// A step on fewer calls than the plan requires.
	"too-few-calls": {beforeSecond: func(s *simulation, second int) {
		if second == 2 { // the load drops after the plan was made
			s.callsPerSecond = 1
		}
	}},
	// A withdrawal for a fault that both versions have.
	"shared-fault": {
		newVersion: between(100, 140, failing(0.6)), oldVersion: between(100, 140, failing(0.6)),
	},
	// The same at 100%, where calls of the old version are needed to compare.
	"shared-fault-in-watch": {
		newVersion: between(255, 262, failing(0.6)), oldVersion: between(255, 262, failing(0.6)),
	},
	// A fault that appears only at a share of 0.4 or more and does not lead to a withdrawal.
	"bad-under-load": {newVersion: func(_ int, _ model.RouteName, share float64) (failure, slow float64) {
		if share >= 0.4 {
			return 0.3, 2
		}
		return 0.002, 1
	}},
	// A fault on one route that is hidden by the calls of the other one.
	"bad-on-one-route": {newVersion: func(_ int, route model.RouteName, _ float64) (failure, slow float64) {
		if route == "place" {
			return 0.4, 1
		}
		return 0.002, 1
	}},
	// A fault that comes and goes and does not lead to a withdrawal.
	"flapping": {newVersion: func(second int, _ model.RouteName, _ float64) (failure, slow float64) {
		if second%40 < 10 {
			return 0.5, 1
		}
		return 0.002, 1
	}},
	// A wrong decision because the reports of 20 s of a data centre arrive at once.
	"burst-of-late-reports": {lateBy: func(second int, dc model.DataCentre) int {
		if dc == "cz-b" && second >= 100 && second < 120 {
			return 120 - second
		}
		return 0
	}},
	// A step while a data centre sends no reports.
	"blind-data-centre": {
		isLost: func(second int, dc model.DataCentre) bool { return dc == "cz-b" && second >= 150 && second < 230 },
		beforeSecond: func(s *simulation, second int) {
			s.blind = nil
			if second >= 153 && second < 230 {
				s.blind = []model.DataCentre{"cz-b"}
			}
		},
	},
	// A new driver, without the evidence of the former one, that does not withdraw a bad version.
	"driver-takeover": {
		newVersion: between(210, 9999, failing(0.3)),
		beforeSecond: func(s *simulation, second int) {
			if second == 200 {
				s.driver = moves.NewDriver(moves.DefaultPolicy())
			}
		},
	},
	// A new driver that ends the move before it has evidence of its own, or never.
	"takeover-in-watch": {beforeSecond: func(s *simulation, second int) {
		if second == 272 {
			s.driver = moves.NewDriver(moves.DefaultPolicy())
		}
	}},
	// A fault at 100% during a pause that does not lead to a withdrawal after the pause.
	"bad-while-paused-at-100": {newVersion: between(262, 9999, failing(0.5)), beforeSecond: func(s *simulation, second int) {
		switch second {
		case 260:
			pause(s, second)
		case 300:
			s.command(second, configuration.Resume{Move: moveID})
		}
	}},
	// A step during a pause, or none after it.
	"operator-pause": {beforeSecond: pauseAndResume},
	// A pause that prevents the withdrawal of a bad version.
	"bad-while-paused": {newVersion: between(100, 9999, failing(0.5)), beforeSecond: pauseAndResume},
	// A step before the current one is in force on all daemons.
	"not-in-force": {beforeSecond: func(s *simulation, second int) { s.frozen = second >= 50 && second < 200 }},
	// A first step before all targets of the new version are warm.
	"cold-target": {beforeSecond: func(s *simulation, second int) {
		switch second {
		case 1:
			setStateOfFirst("v2", model.TargetStarting)(s)
		case 80:
			setStateOfFirst("v2", model.TargetReady)(s)
		}
	}},
	// A step although a target of the old version is leaving before the move is done.
	"old-target-leaves": {beforeSecond: func(s *simulation, second int) {
		if second == 100 {
			setStateOfFirst("v1", model.TargetDraining)(s)
		}
	}},
	// A move that continues although a daemon withholds the new version.
	"mark-of-a-daemon": {beforeSecond: func(s *simulation, second int) {
		if second == 90 {
			s.marks = append(s.marks, model.Mark{VersionRef: s.move().Version(), Move: moveID, Reason: "errors on route place", By: "d4"})
		}
	}},
}

// Each case guards against a step, hold, withdrawal or end of a move that comes at the wrong time or not at all in a
// situation such as a fault, a pause or a lost report. The golden file holds the decisions of the
// driver, the outcomes of its commands and the final phase.
func TestScenarios(t *testing.T) {
	for name, sc := range scenarios {
		t.Run(name, func(t *testing.T) {
			if sc.seconds == 0 {
				sc.seconds = 300
			}
			if sc.callsPerSecond == 0 {
				sc.callsPerSecond = 90
			}
			goldie.New(t).Assert(t, name, []byte(newSimulation(sc, 1).run(2*sc.seconds)))
		})
	}
}
