package claims

import (
	"time"

	"sniperail.example/sniperail/internal/store"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Effect is an output of the state machine.
type Effect interface{ effect() }

type (
	// Begin asks for a decision about a request. ID must be unique to this event.
	Begin struct {
		Token    Token
		Key      string
		ID       string
		Deadline time.Time
	}
	// Cancel says that nobody waits for the decision of a Begin any more, even if it was Run.
	Cancel struct{ Token Token }
	// Finish reports the complete answer of a request that ran.
	Finish struct {
		Claim    Claim
		Response Response
	}
	// Release reports that a request was not executed and will not be under this claim.
	Release struct{ Claim Claim }
	// Lose reports that a request was dispatched and that its outcome is unknown.
	Lose struct{ Claim Claim }
	// Granted ends a Grant.
	Granted struct {
		Outcome store.Outcome
		Lease   store.LeaseID
		TTL     time.Duration
	}
	// Written ends a Write. Found holds the present records of the keys after a conflict.
	Written struct {
		Outcome  store.Outcome
		Revision int64
		Found    map[string]Found
	}
	// Wake fires when the time that Next returned has come.
	Wake struct{}
)

// Found is the record that a key holds.
type Found struct {
	Record         Record
	CreateRevision int64
	Lease          store.LeaseID
}

type (
	// Decide answers a Begin.
	Decide struct {
		Token    Token
		Decision Decision
	}
	// Grant asks for a lease.
	Grant struct{ TTL time.Duration }
	// Write asks for one transaction of all steps. There is at most one Grant or Write at a time.
	Write struct{ Steps []Step }
	// Count adds one to a counter.
	Count struct{ Reason string }
)

// Operation is what a step does to its key.
type Operation string

// Operations of a step.
const (
	// Create writes the record if the key is absent.
	Create Operation = "create"
	// Update writes the record if the key's create revision equals Revision.
	Update Operation = "update"
	// Delete deletes the key if its create revision equals Revision.
	Delete Operation = "delete"
)

// Step is the part of a transaction that concerns one claim.
type Step struct {
	Operation Operation
	Key       string
	Record    Record
	Revision  int64
	Lease     store.LeaseID
}

func (Begin) event()   {}
func (Cancel) event()  {}
func (Finish) event()  {}
func (Release) event() {}
func (Lose) event()    {}
func (Granted) event() {}
func (Written) event() {}
func (Wake) event()    {}

func (Decide) effect() {}
func (Grant) effect()  {}
func (Write) effect()  {}
func (Count) effect()  {}
