package controller

import (
	"time"

	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/store"
)

// seekInterval is the mean time between two looks at the driver's key by a leader that does not drive: eight leaders
// then read about three times a second.
const seekInterval = 3 * time.Second

// election competes for the driver's lease. Only leaders take part, so that the driver receives all leaders' exchanges.
type election struct {
	c     *Controller
	lease *membership.Lease
	next  time.Time
	// waiting says that a call is on its way.
	waiting bool
	driving bool
}

func newElection(c *Controller, lease *membership.Lease) *election {
	return &election{c: c, lease: lease}
}

// run takes the next step towards the lease, or prolongs it.
func (e *election) run() {
	_, leader := e.c.agent.Leader()
	e.settle(leader)
	if !leader {
		e.next = time.Time{}
		return
	}
	if e.waiting || e.c.now.Before(e.next) {
		return
	}
	// Each call sets the next time; a call that is refused at once must not be repeated at once.
	e.pause(seekInterval)
	if e.lease.Held() {
		e.keepAlive()
		return
	}
	e.call(e.lease.ReadCall(), e.found)
}

// wake returns when run has something to do; a call on its way brings its own event.
func (e *election) wake() time.Time {
	if e.waiting {
		return time.Time{}
	}
	return e.next
}

// settle starts or stops the driver as the lease is gained or lost. A lease that may have expired counts as lost.
func (e *election) settle(leader bool) {
	valid := leader && e.lease.Valid(e.c.now)
	if valid == e.driving {
		return
	}
	e.driving = valid
	if valid {
		e.c.takeOver()
		return
	}
	e.c.standDown()
}

func (e *election) call(call store.Call, done func(sent time.Time, result store.Result)) {
	e.waiting = true
	sent := e.c.now
	e.c.agent.CallStore(call, func(result store.Result) {
		e.c.now = e.c.agent.Now()
		e.waiting = false
		done(sent, result)
		_, leader := e.c.agent.Leader()
		e.settle(leader)
	})
}

// pause waits a random time around the interval, so that leaders do not ask in step.
func (e *election) pause(interval time.Duration) {
	half := int64(interval / 2)
	e.next = e.c.now.Add(interval/2 + time.Duration(e.c.agent.Rand().Int64N(2*half)))
}

func (e *election) found(_ time.Time, result store.Result) {
	if result.Outcome != store.Applied {
		return
	}
	if len(result.Entries) > 0 {
		e.lease.RecordEntry(result.Entries[0])
		return
	}
	e.call(e.lease.GrantCall(), e.granted)
}

func (e *election) granted(sent time.Time, result store.Result) {
	if !e.lease.RecordGrant(sent, result) {
		return
	}
	e.call(e.lease.CreateCall([]byte(e.c.agent.Self().Daemon)), e.created)
}

// created takes the result of the attempt to create the key. If its answer was lost, the next read finds the key bound
// to this lease and takes it as held.
func (e *election) created(_ time.Time, result store.Result) {
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
