package configuration

import "sniperail.example/sniperail/internal/model"

// Command is a change that an operator or the driver of moves asks for.
type Command interface{ command() }

// Commands of operators.
type (
	// Declare asks for plans: one for the change, one for each intent. It changes no traffic.
	Declare struct {
		Change  *model.Change  `json:"change,omitempty"`
		Intents []model.Intent `json:"intents,omitempty"`
	}
	// Confirm puts a plan into effect. Confirming a plan twice is the same confirmation.
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
	// Withdraw takes a move back: the old version gets all traffic and the new version none.
	Withdraw struct {
		Move   model.PlanID `json:"move"`
		Reason string       `json:"reason"`
	}
)

// Commands of the driver of moves.
type (
	// Advance puts the next step of a move in force. It is refused unless the move stands at step From.
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
