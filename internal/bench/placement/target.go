package placement

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
)

// call is a request of a caller and its progress.
type call struct {
	daemon                     *daemon
	kind                       string
	left                       time.Duration // work at speed 1
	arrived                    time.Time
	objective, deadline, began time.Time
	busyRefusals               int
	abroad                     bool
	maxWait                    time.Duration
	target                     *target
}

// request describes the call to the queue beside the target.
func (c *call) request() admission.Call {
	return admission.Call{Kind: c.kind, Objective: c.objective, Deadline: c.deadline, MaxWait: c.maxWait}
}

// report is the load of a target as its daemon sends it with a response.
type report struct {
	outstanding, slots  int
	execution, meanTime time.Duration
}

// target is a simulated target with the queue of the daemon beside it.
type target struct {
	run     *run
	index   int
	queue   *admission.PriorityQueue
	waiting map[admission.Ticket]*call
	running []*call
	// updated is the time up to which the progress of the running calls is known.
	updated time.Time
	// timer numbers the scheduled ends, of which only the latest counts.
	timer int
	// used is the execution time at the speed of the target that its calls have taken.
	used time.Duration
}

func (t *target) centre() int { return t.index % len(t.run.versions) }

func (t *target) speed() float64 {
	at, changed := t.run.elapsed(), t.run.changed()
	speed := t.run.scenario.speed(t.index, at, changed)
	if len(t.running) > t.run.scenario.usable(t.index, changed) {
		speed *= slowSpeed
	}
	return speed
}

// advance records the progress of the running calls since the last event, during which the speed was constant.
func (t *target) advance() {
	progress := time.Duration(float64(t.run.now.Sub(t.updated)) * t.speed())
	t.updated = t.run.now
	for _, c := range t.running {
		c.left -= progress
	}
}

// schedule schedules the next end of a call.
func (t *target) schedule() {
	t.timer++
	if len(t.running) == 0 {
		return
	}
	next := slices.MinFunc(t.running, func(a, b *call) int { return int(a.left - b.left) })
	timer := t.timer
	t.run.after(time.Duration(float64(max(next.left, 0))/t.speed())+time.Microsecond, func() {
		if timer == t.timer {
			t.update()
		}
	})
}

// update ends the calls whose work is done.
func (t *target) update() {
	t.advance()
	for i := 0; i < len(t.running); {
		c := t.running[i]
		if c.left > 0 {
			i++
			continue
		}
		t.running = slices.Delete(t.running, i, i+1)
		t.end(c)
	}
	t.schedule()
}

func (t *target) end(c *call) {
	took := t.run.now.Sub(c.began)
	t.queue.RecordUse(t.run.now, c.request(), took, true)
	for _, d := range t.queue.Release(t.run.now, c.kind, took) {
		next := t.waiting[d.Ticket]
		delete(t.waiting, d.Ticket)
		if d.Reason == admission.Admitted {
			t.begin(next)
		} else {
			t.respond(next, d.Reason)
		}
	}
	t.respond(c, admission.Admitted)
}

func (t *target) begin(c *call) {
	c.began = t.run.now
	t.used += c.left
	t.running = append(t.running, c)
}

// receive handles a call that has arrived at the daemon beside the target.
func (t *target) receive(c *call) {
	t.advance()
	switch d := t.queue.Acquire(t.run.now, c.request()); d.Verdict {
	case admission.Run:
		t.begin(c)
	case admission.Wait:
		t.waiting[d.Ticket] = c
	case admission.Refuse:
		t.respond(c, d.Reason)
	}
	t.schedule()
}

// respond sends a response or a refusal to the caller's daemon.
func (t *target) respond(c *call, reason admission.Reason) {
	execution, mean := t.queue.ReportedTimes(c.kind)
	r := report{
		outstanding: t.queue.Running() + t.queue.Queued(), slots: t.queue.Slots(), execution: execution, meanTime: mean,
	}
	t.run.after(t.run.delay(c.daemon, t), func() { c.daemon.receive(c, r, reason) })
}
