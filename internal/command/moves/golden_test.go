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

// scenarios are simulated moves by the situation that they cover. The names are also those of the golden files.
var scenarios = map[string]scenario{
	"good":         {},
	"demo":         {seconds: 15, callsPerSecond: 25, watch: 2},
	"bad-at-once":  {newVersion: failing(0.5)},
	"bad-later":    {newVersion: between(220, 9999, failing(0.3))},
	"bad-in-watch": {newVersion: between(255, 9999, failing(0.3))},
	"slow":         {newVersion: func(int, model.RouteName, float64) (failure, slow float64) { return 0.002, 4 }},
	"old-bad":      {oldVersion: between(50, 250, failing(0.4))},
	"too-few-calls": {beforeSecond: func(s *simulation, second int) {
		if second == 2 { // the load drops after the plan was made
			s.callsPerSecond = 1
		}
	}},
	"shared-fault": {
		newVersion: between(100, 140, failing(0.6)), oldVersion: between(100, 140, failing(0.6)),
	},
	"shared-fault-in-watch": {
		newVersion: between(255, 262, failing(0.6)), oldVersion: between(255, 262, failing(0.6)),
	},
	"bad-under-load": {newVersion: func(_ int, _ model.RouteName, share float64) (failure, slow float64) {
		if share >= 0.4 {
			return 0.3, 2
		}
		return 0.002, 1
	}},
	"bad-on-one-route": {newVersion: func(_ int, route model.RouteName, _ float64) (failure, slow float64) {
		if route == "place" {
			return 0.4, 1
		}
		return 0.002, 1
	}},
	"flapping": {newVersion: func(second int, _ model.RouteName, _ float64) (failure, slow float64) {
		if second%40 < 10 {
			return 0.5, 1
		}
		return 0.002, 1
	}},
	"burst-of-late-reports": {lateBy: func(second int, dc model.DataCentre) int {
		if dc == "cz-b" && second >= 100 && second < 120 {
			return 120 - second
		}
		return 0
	}},
	"blind-data-centre": {
		isLost: func(second int, dc model.DataCentre) bool { return dc == "cz-b" && second >= 150 && second < 230 },
		beforeSecond: func(s *simulation, second int) {
			s.blind = nil
			if second >= 153 && second < 230 {
				s.blind = []model.DataCentre{"cz-b"}
			}
		},
	},
	"driver-takeover": {
		newVersion: between(210, 9999, failing(0.3)),
		beforeSecond: func(s *simulation, second int) {
			if second == 200 {
				s.driver = moves.NewDriver(moves.DefaultPolicy())
			}
		},
	},
	"takeover-in-watch": {beforeSecond: func(s *simulation, second int) {
		if second == 272 {
			s.driver = moves.NewDriver(moves.DefaultPolicy())
		}
	}},
	"bad-while-paused-at-100": {newVersion: between(262, 9999, failing(0.5)), beforeSecond: func(s *simulation, second int) {
		switch second {
		case 260:
			pause(s, second)
		case 300:
			s.command(second, configuration.Resume{Move: moveID})
		}
	}},
	"operator-pause":   {beforeSecond: pauseAndResume},
	"bad-while-paused": {newVersion: between(100, 9999, failing(0.5)), beforeSecond: pauseAndResume},
	"not-in-force":     {beforeSecond: func(s *simulation, second int) { s.frozen = second >= 50 && second < 200 }},
	"cold-target": {beforeSecond: func(s *simulation, second int) {
		switch second {
		case 1:
			setStateOfFirst("v2", model.TargetStarting)(s)
		case 80:
			setStateOfFirst("v2", model.TargetReady)(s)
		}
	}},
	"old-target-leaves": {beforeSecond: func(s *simulation, second int) {
		if second == 100 {
			setStateOfFirst("v1", model.TargetDraining)(s)
		}
	}},
	"mark-of-a-daemon": {beforeSecond: func(s *simulation, second int) {
		if second == 90 {
			s.marks = append(s.marks, model.Mark{VersionRef: s.move().Version(), Move: moveID, Reason: "errors on route place", By: "d4"})
		}
	}},
}

// Each case guards against a step, hold, withdrawal or end of a move that comes at the wrong time or not at all in the
// situation that its name describes. The golden file holds the decisions of the driver, the outcomes of its commands and the
// final phase.
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
