package model

import "time"

// Intent is what an operator asks for: all traffic of a service on version To by the time By.
type Intent struct {
	Service ServiceName `json:"service"`
	To      VersionName `json:"to"`
	By      time.Time   `json:"by"`
	// WatchSeconds is how long the new version is observed at 100% before the move is done.
	WatchSeconds int `json:"watchSeconds,omitempty"`
	// MinCalls is the least number of calls of the new version on the service before a step may follow.
	MinCalls int `json:"minCalls,omitempty"`
}

// Step gives the new version a share, not before a time and not before evidence.
type Step struct {
	Share    Share     `json:"share"`
	Earliest time.Time `json:"earliest"`
	// MinCalls is the number of the new version's calls in the step before that must be judged good.
	MinCalls int `json:"minCalls"`
}

// Change replaces or removes services and routes.
type Change struct {
	Services       []Service     `json:"services,omitempty"`
	Routes         []Route       `json:"routes,omitempty"`
	RemoveServices []ServiceName `json:"removeServices,omitempty"`
	RemoveRoutes   []RouteName   `json:"removeRoutes,omitempty"`
	Dashboard      *Dashboard    `json:"dashboard,omitempty"`
}

// Plan is the answer to a declaration. It changes nothing until it is confirmed. It holds either a Change, which takes
// effect at once when confirmed, or an Intent with its steps.
type Plan struct {
	ID     PlanID  `json:"id"`
	Base   Number  `json:"base"`
	Change *Change `json:"change,omitempty"`
	Intent
	From        VersionName `json:"from"`
	Steps       []Step      `json:"steps"`
	Routes      []RouteName `json:"routes"`
	Daemons     []DaemonID  `json:"daemons"`
	WithdrawnIf []string    `json:"withdrawnIf"`
	// Feasible says whether the requested time can be met at the load seen; Note explains.
	Feasible bool      `json:"feasible"`
	Note     string    `json:"note,omitempty"`
	Latest   time.Time `json:"latest"`
	By       string    `json:"declaredBy"`
	At       time.Time `json:"declaredAt"`
	// Confirmed is set once the plan took effect.
	Confirmed *Confirmation `json:"confirmed,omitempty"`
}

// Confirmation records who put a plan into effect and with which configuration number.
type Confirmation struct {
	By     string    `json:"by"`
	At     time.Time `json:"at"`
	Number Number    `json:"number"`
}

// Phase is the state of a move.
type Phase string

// Phases of a move. Done and Withdrawn are final.
const (
	PhaseRunning     Phase = "running"
	PhasePaused      Phase = "paused"
	PhaseWatching    Phase = "watching"
	PhaseWithdrawing Phase = "withdrawing"
	PhaseDone        Phase = "done"
	PhaseWithdrawn   Phase = "withdrawn"
)

// Active reports whether the move is not finished.
func (p Phase) Active() bool { return p != PhaseDone && p != PhaseWithdrawn }

// Move is a confirmed plan in progress. It is part of the configuration, so each change of it has a number.
type Move struct {
	ID           PlanID      `json:"id"`
	Service      ServiceName `json:"service"`
	From         VersionName `json:"from"`
	To           VersionName `json:"to"`
	Steps        []Step      `json:"steps"`
	Deadline     time.Time   `json:"deadline"`
	WatchSeconds int         `json:"watchSeconds"`
	Phase        Phase       `json:"phase"`
	// Resume is the phase that a paused move goes back to.
	Resume Phase `json:"resume,omitempty"`
	// Step is the index into Steps of the step in force; -1 before the first.
	Step int `json:"step"`
	// Since is when Step or Phase last changed, and Number the configuration number of that change.
	Since  time.Time `json:"since"`
	Number Number    `json:"number"`
	// Reason says why the move is held, paused or withdrawn.
	Reason      string `json:"reason,omitempty"`
	ConfirmedBy string `json:"confirmedBy"`
}

// Version returns the version under move as a reference.
func (m *Move) Version() VersionRef { return VersionRef{Service: m.Service, Version: m.To} }

// EventKind names an entry of the event feed.
type EventKind string

// Kinds of events. Done and Withdrawn appear once per move.
const (
	EventConfirmed   EventKind = "confirmed"
	EventStep        EventKind = "step"
	EventWatching    EventKind = "watching"
	EventPaused      EventKind = "paused"
	EventResumed     EventKind = "resumed"
	EventWithdrawing EventKind = "withdrawing"
	EventDone        EventKind = "done"
	EventWithdrawn   EventKind = "withdrawn"
	EventChanged     EventKind = "changed"
)

// MoveEvent is one entry of the event feed. Token grows by one with each event and resumes the feed.
type MoveEvent struct {
	Token   uint64      `json:"token"`
	At      time.Time   `json:"at"`
	Kind    EventKind   `json:"kind"`
	Move    PlanID      `json:"move,omitempty"`
	Service ServiceName `json:"service,omitempty"`
	Version VersionName `json:"version,omitempty"`
	Share   Share       `json:"share"`
	Number  Number      `json:"number"`
	By      string      `json:"by"`
	Detail  string      `json:"detail,omitempty"`
}
