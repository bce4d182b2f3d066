package moves

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Inputs is what the driver knows in one round. Nothing in it is changed.
type Inputs struct {
	Now           time.Time
	Configuration *model.Configuration
	// Evidence is what arrived since the last round.
	Evidence []model.Evidence
	Targets  []model.Target
	InForce  model.InForce
	// Marks are the versions that any judge has proven bad.
	Marks []model.Mark
	// By names the daemon that drives.
	By model.DaemonID
}

// Decision is what the driver asks for. The same decision comes again in each round until the configuration shows it.
type Decision interface{ decision() }

type (
	// Advance puts step To in force after step From. To is lower than From when a version at 100% is suspect: the old
	// version then gets traffic again to compare with.
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
	// Withhold spreads a mark, ahead of the withdrawal.
	Withhold struct{ Mark model.Mark }
	// Hold reports why a move does not go on. Detail holds counts that change with each round.
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
