package moves

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Inputs is what the driver knows in one round. The driver does not modify it.
type Inputs struct {
	Now           time.Time
	Configuration *model.Configuration
	// Evidence holds the reports that arrived since the last round.
	Evidence []model.Evidence
	Targets  []model.Target
	InForce  model.InForce
	// Marks are the versions that a judge has proven bad.
	Marks []model.Mark
	// By is the daemon that runs the driver.
	By model.DaemonID
}

// Decision is an action that the driver requests. The driver repeats it in each round until the configuration reflects it.
type Decision interface{ decision() }

type (
	// Advance changes the step of a move from From to To. To is lower than From if a version at 100% is suspect: the old
	// version then gets traffic again for the comparison.
	Advance struct {
		Move     model.PlanID
		From, To int
		Detail   string
	}
	// Withdraw gives all traffic back to the old version.
	Withdraw struct {
		Move   model.PlanID
		Reason string
	}
	// Finish ends a move as done or withdrawn.
	Finish struct {
		Move   model.PlanID
		Phase  model.Phase
		Detail string
	}
	// Withhold distributes a mark before the withdrawal.
	Withhold struct{ Mark model.Mark }
	// Hold reports why a move does not advance. Detail contains counts that change with each round.
	Hold struct {
		Move   model.PlanID
		Reason string
		Detail string
	}
)

func (Advance) decision()  {}
func (Withdraw) decision() {}
func (Finish) decision()   {}
func (Withhold) decision() {}
func (Hold) decision()     {}
