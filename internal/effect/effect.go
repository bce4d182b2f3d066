// Package effect defines the inputs (events) and outputs (effects) of a daemon's control loop. Decision code maps events to
// effects; internal/control performs the effects and returns their results as events.
package effect

import (
	"time"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// RequestID correlates a Send or StoreCall with its result. It is unique within one process of a daemon.
type RequestID uint64

// Token correlates an event that needs a response with the effect that carries the response.
type Token uint64

// Event is an input of the control loop.
type Event interface{ event() }

// Effect is an output of the control loop.
type Effect interface{ effect() }

type (
	// Wake is sent at the time that the core requested for its next timer.
	Wake struct{}
	// RequestReceived is a request from a peer; respond with a Reply effect.
	RequestReceived struct {
		Token Token
		Body  message.Request
	}
	// SendDone is the result of a Send. Reply is nil if the peer could not be reached or did not answer in time.
	SendDone struct {
		Request RequestID
		Reply   message.Reply
	}
	// StoreDone is the result of a StoreCall.
	StoreDone struct {
		Request RequestID
		Result  store.Result
	}
	// KeyChanged is an event of the watch on Key: a change of the key, or the loss of the watch.
	KeyChanged struct {
		Key   string
		Event store.WatchEvent
	}
	// OutcomesObserved carries request outcomes from the traffic goroutines.
	OutcomesObserved struct{ Sums []model.KeyedSum }
	// TargetOutcomesObserved carries outcomes of the calls to the local target.
	TargetOutcomesObserved struct {
		Sums []model.KeyedSum
		// Running is the number of calls in flight at the target and Arrived the time when the last call arrived.
		Running int
		Arrived time.Time
	}
	// TargetChanged reports the state of the local target.
	TargetChanged struct{ State model.TargetState }
	// TargetReported carries a report that the local target sent about itself. Respond with an Answer effect once the result
	// of the report is certain.
	TargetReported struct {
		Token  Token
		Report model.TargetReport
	}
	// TargetLeaving reports that a run of the local target has said in a response that it is leaving.
	TargetLeaving struct {
		Instance model.InstanceID
		Born     int64
	}
	// HealthChecked is the result of a CheckHealth. Instance identifies the process of the target that reported itself
	// healthy; it is empty if the target is not healthy.
	HealthChecked struct {
		Instance model.InstanceID
		// WarmupLeft is the time until the target is warm, and WarmupKnown says that the response named it.
		WarmupLeft  time.Duration
		WarmupKnown bool
	}
	// Stopping reports that this daemon was asked to shut down: its target takes no new calls.
	Stopping struct{}
	// SeedsChanged replaces the peer addresses that are used while the platform cannot be read.
	SeedsChanged struct{ Seeds []string }
	// CommandSubmitted is an operator's command; respond with an Answer effect.
	CommandSubmitted struct {
		Token   Token
		By      string
		Command any
	}
	// QuotaAsked asks for tokens of a tenant's quota; respond with a ReturnQuota effect.
	QuotaAsked struct {
		Token   Token
		Request message.QuotaRequest
	}
	// StatusRequested asks for the status of this daemon; respond with a ReturnStatus effect.
	StatusRequested struct{ Token Token }
)

type (
	// Send sends a request to the peer at Address.
	Send struct {
		Request RequestID
		Address string
		Body    message.Request
	}
	// Reply answers a RequestReceived event.
	Reply struct {
		Token Token
		Body  message.Reply
	}
	// StoreCall performs a call to the platform's store.
	StoreCall struct {
		Request RequestID
		Call    store.Call
	}
	// Watch starts a watch on a key for changes after a revision. It replaces a running watch on the same key.
	Watch struct {
		Key   string
		After int64
	}
	// Unwatch ends the watch on a key.
	Unwatch struct{ Key string }
	// Publish replaces the view that the traffic goroutines read.
	Publish struct{ View *model.View }
	// Confirm sets the time at which the configuration of the latest Publish was confirmed, on a clock that counts suspension.
	Confirm struct{ At time.Duration }
	// Answer responds to a CommandSubmitted or TargetReported event.
	Answer struct {
		Token   Token
		Outcome model.Outcome
	}
	// ReturnStatus responds to a StatusRequested event.
	ReturnStatus struct {
		Token  Token
		Status *message.StatusReply
	}
	// ReturnQuota responds to a QuotaAsked event. Reply is nil if the owner has not answered in time; Share is the number of
	// requests of the tenant that this daemon may execute in a window without the owner.
	ReturnQuota struct {
		Token Token
		Reply *message.QuotaReply
		Share int
	}
	// CheckHealth requests Path from the local target to check its health.
	CheckHealth struct{ Path string }
	// Log writes one log line.
	Log struct {
		Event  string
		Fields []Field
	}
	// Count adds one to a counter with the label Reason.
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
func (TargetLeaving) event()          {}
func (TargetChanged) event()          {}
func (TargetReported) event()         {}
func (HealthChecked) event()          {}
func (Stopping) event()               {}
func (SeedsChanged) event()           {}
func (CommandSubmitted) event()       {}
func (StatusRequested) event()        {}
func (QuotaAsked) event()             {}

func (Send) effect()         {}
func (Reply) effect()        {}
func (StoreCall) effect()    {}
func (Watch) effect()        {}
func (Unwatch) effect()      {}
func (Publish) effect()      {}
func (Confirm) effect()      {}
func (Answer) effect()       {}
func (ReturnStatus) effect() {}
func (ReturnQuota) effect()  {}
func (Log) effect()          {}
func (CheckHealth) effect()  {}
func (Count) effect()        {}
