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
	// Begin requests a decision about a request. ID must be unique to this event.
	Begin struct {
		Token    Token
		Key      string
		ID       string
		Deadline time.Time
	}
	// Cancel reports that the caller of a Begin is gone. If the decision was Run, the request was not dispatched.
	Cancel struct{ Token Token }
	// Finish reports the complete response of a request that ran.
	Finish struct {
		Claim    Claim
		Response Response
	}
	// Release reports that a request was not executed and will not be under this claim.
	Release struct{ Claim Claim }
	// ReportLost reports that a request was dispatched and that its outcome is unknown.
	ReportLost struct{ Claim Claim }
	// Granted is the result of a Grant.
	Granted struct {
		Outcome store.Outcome
		Lease   store.LeaseID
		TTL     time.Duration
	}
	// Written is the result of a Write. After a conflict Existing holds the current claims by key.
	Written struct {
		Outcome  store.Outcome
		Revision int64
		Existing map[string]StoredClaim
	}
	// Wake occurs at the time that NextWake returned.
	Wake struct{}
)

// StoredClaim is a claim as stored in the platform.
type StoredClaim struct {
	Record         Record
	CreateRevision int64
	Lease          store.LeaseID
}

type (
	// Decide returns the decision of a Begin.
	Decide struct {
		Token    Token
		Decision Decision
	}
	// Grant requests a lease.
	Grant struct{ TTL time.Duration }
	// Write requests one transaction of all steps. At most one Grant or Write is outstanding.
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

func (Begin) event()      {}
func (Cancel) event()     {}
func (Finish) event()     {}
func (Release) event()    {}
func (ReportLost) event() {}
func (Granted) event()    {}
func (Written) event()    {}
func (Wake) event()       {}

func (Decide) effect() {}
func (Grant) effect()  {}
func (Write) effect()  {}
func (Count) effect()  {}
