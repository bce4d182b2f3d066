package configuration

import "sniperail.example/sniperail/internal/model"

// Command is a change that an operator or the driver of moves requests.
type Command interface{ command() }

// Commands of operators.
type (
	// Declare requests plans: one for the change and one for each intent. It does not change traffic.
	Declare struct {
		Change  *model.Change  `json:"change,omitempty"`
		Intents []model.Intent `json:"intents,omitempty"`
	}
	// Confirm puts a plan into effect. It is idempotent: a second confirmation of a plan changes nothing.
	Confirm struct {
		Plan model.PlanID `json:"plan"`
	}
	// Pause stops a move from advancing.
	Pause struct {
		Move model.PlanID `json:"move"`
	}
	// Resume lets a paused move advance again.
	Resume struct {
		Move model.PlanID `json:"move"`
	}
	// Withdraw reverses a move: the old version gets all traffic and the new version none.
	Withdraw struct {
		Move   model.PlanID `json:"move"`
		Reason string       `json:"reason"`
	}
)

// Commands of the driver of moves.
type (
	// Advance changes the step of a move from From to To. It is refused unless the move is at step From.
	Advance struct {
		Move     model.PlanID
		From, To int
		Detail   string
	}
	// Finish ends a move: PhaseDone after the watch period, PhaseWithdrawn once the withdrawal is in force.
	Finish struct {
		Move   model.PlanID
		Phase  model.Phase
		Detail string
	}
)

func (Declare) command()  {}
func (Confirm) command()  {}
func (Pause) command()    {}
func (Resume) command()   {}
func (Withdraw) command() {}
func (Advance) command()  {}
func (Finish) command()   {}
