package model

import "time"

// Intent is an operator's request to move all traffic of a service to version To by the time By.
type Intent struct {
	Service ServiceName `json:"service"`
	To      VersionName `json:"to"`
	By      time.Time   `json:"by"`
	// WatchSeconds is how long the new version is observed at 100% before the move is done.
	WatchSeconds int `json:"watchSeconds,omitempty"`
	// MinCalls is the minimum number of calls of the new version before the next step may be taken.
	MinCalls int `json:"minCalls,omitempty"`
}

// Step raises the share of the new version. It is taken no earlier than Earliest, and only after MinCalls calls.
type Step struct {
	Share    Share     `json:"share"`
	Earliest time.Time `json:"earliest"`
	// MinCalls is the number of calls of the new version in the preceding step that must be judged good.
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

// Plan is the result of a declaration and has no effect until it is confirmed. It holds either a Change, which takes
// effect at once on confirmation, or an Intent with its steps.
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
	// Feasible says whether the requested time can be met at the observed load. Note explains the plan, above all why it
	// is not feasible.
	Feasible bool      `json:"feasible"`
	Note     string    `json:"note,omitempty"`
	Latest   time.Time `json:"latest"`
	By       string    `json:"declaredBy"`
	At       time.Time `json:"declaredAt"`
	// Confirmed is set once the plan took effect.
	Confirmed *Confirmation `json:"confirmed,omitempty"`
}

// Confirmation records who confirmed a plan, when, and the configuration number that put the plan into effect.
type Confirmation struct {
	By     string    `json:"by"`
	At     time.Time `json:"at"`
	Number Number    `json:"number"`
}

// Phase is the state of a move.
type Phase string

// Phases of a move. PhaseDone and PhaseWithdrawn are final.
const (
	PhaseRunning     Phase = "running"
	PhasePaused      Phase = "paused"
	PhaseWatching    Phase = "watching"
	PhaseWithdrawing Phase = "withdrawing"
	PhaseDone        Phase = "done"
	PhaseWithdrawn   Phase = "withdrawn"
)

// Active reports whether a move in this phase is unfinished.
func (p Phase) Active() bool { return p != PhaseDone && p != PhaseWithdrawn }

// order returns the position of the phase among those that a move passes through. A final phase is never left.
func (p Phase) order() int {
	switch p {
	case PhaseDone, PhaseWithdrawn:
		return 2
	case PhaseWithdrawing:
		return 1
	}
	return 0
}

// Move is a confirmed plan and its progress. Moves are part of the configuration, so each change of a move has a
// configuration number.
type Move struct {
	ID           PlanID      `json:"id"`
	Service      ServiceName `json:"service"`
	From         VersionName `json:"from"`
	To           VersionName `json:"to"`
	Steps        []Step      `json:"steps"`
	Deadline     time.Time   `json:"deadline"`
	WatchSeconds int         `json:"watchSeconds"`
	Phase        Phase       `json:"phase"`
	// Resume is the phase that a paused move returns to when it is resumed.
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

// Rollout is a move that must finish within seconds, with the state of its current step.
type Rollout struct {
	Move
	// Canaries are the daemons whose targets receive nearly all calls of the new version in this step; empty means all
	// targets of the version.
	Canaries []DaemonID `json:"canaries,omitempty"`
	// IntentRevision is the revision of the operator's intent that the move follows, in the era of the store in which the move was
	// written. It changes if the intent is written again after the store was restored, and is LostIntent until then; 0 if an earlier
	// release wrote the move.
	IntentRevision int64 `json:"intentRevision,omitempty"`
}

// LostIntent is the IntentRevision of a move whose intent the store has lost.
const LostIntent = -1

// IsAheadOf reports whether r has got further than o, another state of the same move.
func (r *Rollout) IsAheadOf(o *Rollout) bool {
	if r.Phase.order() != o.Phase.order() {
		return r.Phase.order() > o.Phase.order()
	}
	return r.Step > o.Step
}

// Version returns the version that the move rolls out.
func (m *Move) Version() VersionRef { return VersionRef{Service: m.Service, Version: m.To} }

// EventKind is the kind of an entry in the event feed.
type EventKind string

// Kinds of events. EventDone and EventWithdrawn appear at most once per move.
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

// MoveEvent is one entry of the event feed. Token grows by one with each event; a reader passes the last
// token it has seen to resume the feed.
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
