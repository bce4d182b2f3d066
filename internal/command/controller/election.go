package controller

import (
	"time"

	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/store"
)

// pollInterval is the mean interval at which a leader that does not drive reads the driver's key. Eight leaders then read
// it about three times a second.
const pollInterval = 3 * time.Second

// election competes for the driver's lease. Only leaders take part, because the driver needs the messages that leaders
// exchange.
type election struct {
	c     *Controller
	lease *membership.Lease
	next  time.Time
	// callOutstanding means that a store call has not returned.
	callOutstanding bool
	driving         bool
}

func newElection(c *Controller, lease *membership.Lease) *election {
	return &election{c: c, lease: lease}
}

// run starts the next store call that acquires or renews the lease, if one is due.
func (e *election) run() {
	_, leader := e.c.agent.Leader()
	e.updateDriving(leader)
	if !leader {
		e.next = time.Time{}
		return
	}
	if e.callOutstanding || e.c.now.Before(e.next) {
		return
	}
	// Every call schedules the next one, so that a call that is refused at once is not repeated at once.
	e.scheduleNext(pollInterval)
	if e.lease.Held() {
		e.keepAlive()
		return
	}
	e.call(e.lease.ReadCall(), e.handleRead)
}

// nextWake returns when run is due, or the zero time while a call is outstanding, because its result triggers the next step.
func (e *election) nextWake() time.Time {
	if e.callOutstanding {
		return time.Time{}
	}
	return e.next
}

// updateDriving starts or stops the driver when the lease was acquired or lost. A lease that may have expired counts as
// lost.
func (e *election) updateDriving(leader bool) {
	valid := leader && e.lease.Valid(e.c.now)
	if valid == e.driving {
		return
	}
	e.driving = valid
	if valid {
		e.c.startDriver()
		return
	}
	e.c.stopDriver()
}

func (e *election) call(call store.Call, done func(sent time.Time, result store.Result)) {
	e.callOutstanding = true
	sent := e.c.now
	e.c.agent.CallStore(call, func(result store.Result) {
		e.c.now = e.c.agent.Now()
		e.callOutstanding = false
		done(sent, result)
		_, leader := e.c.agent.Leader()
		e.updateDriving(leader)
	})
}

// scheduleNext schedules the next call after a random time around the interval, so that leaders do not call at the same
// time.
func (e *election) scheduleNext(interval time.Duration) {
	half := int64(interval / 2)
	e.next = e.c.now.Add(interval/2 + time.Duration(e.c.agent.Rand().Int64N(2*half)))
}

func (e *election) handleRead(_ time.Time, result store.Result) {
	if result.Outcome != store.Applied {
		return
	}
	if len(result.Entries) > 0 {
		e.lease.RecordEntry(result.Entries[0])
		return
	}
	e.call(e.lease.GrantCall(), e.handleGranted)
}

func (e *election) handleGranted(sent time.Time, result store.Result) {
	if !e.lease.RecordGrant(sent, result) {
		return
	}
	e.call(e.lease.CreateCall([]byte(e.c.agent.Self().Daemon)), e.handleCreated)
}

// handleCreated handles the result of the attempt to create the key. If the response was lost, the next read finds the key
// bound to this lease, which then counts as held.
func (e *election) handleCreated(_ time.Time, result store.Result) {
	switch {
	case result.Outcome == store.Applied:
		e.lease.RecordCreate(result)
		e.next = e.c.now.Add(agent.KeepAliveInterval)
	case result.Outcome == store.Conflict && len(result.Entries) > 0:
		e.lease.RecordEntry(result.Entries[0])
	}
}

func (e *election) keepAlive() {
	call := e.lease.KeepAliveCall()
	e.call(call, func(sent time.Time, result store.Result) {
		e.next = e.c.now.Add(agent.KeepAliveInterval)
		e.lease.RecordKeepAlive(sent, call.Lease, result)
	})
}
