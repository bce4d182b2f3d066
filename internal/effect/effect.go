// Package effect defines the events that enter the control loop of a daemon and the effects that leave it. Decision code
// maps events to effects; internal/control performs the effects and returns their results as events.
package effect

import (
	"time"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// RequestID correlates a Send or StoreCall with its result. Each daemon counts its own.
type RequestID uint64

// Token correlates a received request with its Reply.
type Token uint64

// Event is an input of the control loop.
type Event interface{ event() }

// Effect is an output of the control loop.
type Effect interface{ effect() }

type (
	// Wake fires when the time that the core asked for has come.
	Wake struct{}
	// RequestReceived is a request from a peer; answer it with a Reply effect.
	RequestReceived struct {
		Token Token
		Body  message.Request
	}
	// SendDone ends a Send. Reply is nil if the peer could not be reached or did not answer in time.
	SendDone struct {
		Request RequestID
		Reply   message.Reply
	}
	// StoreDone ends a StoreCall.
	StoreDone struct {
		Request RequestID
		Result  store.Result
	}
	// KeyChanged is a change of a watched key.
	KeyChanged struct {
		Key   string
		Event store.WatchEvent
	}
	// OutcomesObserved is a batch of request outcomes from the traffic goroutines.
	OutcomesObserved struct{ Sums []model.KeyedSum }
	// TargetOutcomesObserved is a batch of outcomes of the calls of the target beside this daemon.
	TargetOutcomesObserved struct {
		Sums []model.KeyedSum
		// Running counts the calls at the target, and Arrived is when the last one arrived.
		Running int
		Arrived time.Time
	}
	// TargetChanged reports the state of the target beside this daemon.
	TargetChanged struct{ State model.TargetState }
	// TargetReported is what the target beside this daemon says of itself; answer it with an Answer effect once its
	// consequence is sure.
	TargetReported struct {
		Token  Token
		Report model.TargetReport
	}
	// HealthChecked ends an AskTarget. Instance is the run of the target that says it is well, empty if none does.
	HealthChecked struct{ Instance model.InstanceID }
	// Stopping says that this daemon was asked to end: its target takes no new calls.
	Stopping struct{}
	// SeedsChanged replaces the peer addresses that are asked while the platform cannot be read.
	SeedsChanged struct{ Seeds []string }
	// CommandSubmitted is an operator's command; answer it with an Answer effect.
	CommandSubmitted struct {
		Token   Token
		By      string
		Command any
	}
	// StatusRequested asks for a status; answer it with an Inspected effect.
	StatusRequested struct{ Token Token }
)

type (
	// Send sends a request to the peer at Address.
	Send struct {
		Request RequestID
		Address string
		Body    message.Request
	}
	// Reply answers a Received event.
	Reply struct {
		Token Token
		Body  message.Reply
	}
	// StoreCall performs a call to the platform's service.
	StoreCall struct {
		Request RequestID
		Call    store.Call
	}
	// Watch starts to watch a key after a revision, in place of a running watch on the same key.
	Watch struct {
		Key   string
		After int64
	}
	// Unwatch ends the watch on a key.
	Unwatch struct{ Key string }
	// Publish swaps the view that traffic goroutines read.
	Publish struct{ View *model.View }
	// Answer ends a Submitted command.
	Answer struct {
		Token   Token
		Outcome model.Outcome
	}
	// ReturnStatus ends an Inspect.
	ReturnStatus struct {
		Token  Token
		Status *message.StatusReply
	}
	// CheckHealth asks the target beside this daemon for its health.
	CheckHealth struct{ Path string }
	// Log writes one line.
	Log struct {
		Event  string
		Fields []Field
	}
	// Count adds one to a counter, labelled by its reason.
	Count struct {
		Counter string
		Reason  string
	}
)

// Field is one key=value pair of a log line.
type Field struct {
	Key   string
	Value string
}

func (Wake) event()                   {}
func (RequestReceived) event()        {}
func (SendDone) event()               {}
func (StoreDone) event()              {}
func (KeyChanged) event()             {}
func (OutcomesObserved) event()       {}
func (TargetOutcomesObserved) event() {}
func (TargetChanged) event()          {}
func (TargetReported) event()         {}
func (HealthChecked) event()          {}
func (Stopping) event()               {}
func (SeedsChanged) event()           {}
func (CommandSubmitted) event()       {}
func (StatusRequested) event()        {}

func (Send) effect()         {}
func (Reply) effect()        {}
func (StoreCall) effect()    {}
func (Watch) effect()        {}
func (Unwatch) effect()      {}
func (Publish) effect()      {}
func (Answer) effect()       {}
func (ReturnStatus) effect() {}
func (Log) effect()          {}
func (CheckHealth) effect()  {}
func (Count) effect()        {}
