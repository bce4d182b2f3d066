package placement

import (
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

const (
	// maxReportAge, assumedTime and maxBusyRefusals are those of package traffic.
	maxReportAge    = 2 * time.Second
	assumedTime     = 100 * time.Millisecond
	maxBusyRefusals = 2
)

// observed is what a daemon knows of a target: its latest report and the daemon's own calls.
type observed struct {
	report      report
	at          time.Time
	own, before int
	execution   map[string]time.Duration
}

// daemon is the daemon of a caller. Like package traffic, it knows targets only from the reports on its own calls.
type daemon struct {
	run     *run
	centre  int
	targets []observed
}

// loads implements routing.LoadProvider for one kind of calls.
type loads struct {
	daemon *daemon
	kind   string
}

// Load implements routing.LoadProvider.
func (l loads) Load(t *model.Target) routing.TargetLoad {
	o := &l.daemon.targets[l.daemon.run.index[t.Daemon]]
	out := routing.TargetLoad{
		Slots: t.Slots, Outstanding: float64(o.own), MeanExecutionTime: assumedTime, ReportAge: -time.Millisecond,
	}
	if o.at.IsZero() {
		return out
	}
	out.ReportAge = l.daemon.run.now.Sub(o.at)
	out.ExecutionTime, out.MeanExecutionTime = o.execution[l.kind], o.report.meanTime
	if out.Fresh = out.ReportAge < maxReportAge; out.Fresh {
		out.Slots = min(o.report.slots, t.Slots)
		out.Outstanding = float64(max(o.report.outstanding+o.own-o.before, o.own))
	}
	return out
}

// send selects a target and sends the call to it.
func (d *daemon) send(c *call) {
	t, wait, waitLimit := d.run.policy.pick(d, c)
	if d.run.now.Add(wait).After(c.deadline) {
		d.run.refused(c)
		return
	}
	c.target, c.maxWait = t, 0
	if c.busyRefusals < maxBusyRefusals {
		c.maxWait = waitLimit
	}
	d.targets[t.index].own++
	d.run.after(d.run.delay(d, t), func() { t.receive(c) })
}

// receive handles a response or a refusal with the load of the target.
func (d *daemon) receive(c *call, r report, reason admission.Reason) {
	o := &d.targets[c.target.index]
	o.own--
	o.report, o.at, o.before = r, d.run.now, o.own
	if o.execution == nil {
		o.execution = map[string]time.Duration{}
	}
	o.execution[c.kind] = r.execution
	switch reason {
	case admission.Admitted:
		d.run.ended(c)
	case admission.Busy:
		c.busyRefusals++
		c.abroad = c.abroad || c.target.centre() != d.centre
		d.send(c)
	default:
		d.run.refused(c)
	}
}
