package placement

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

const (
	// minTargets and maxTargets bound the targets of the service: a third of the daemons.
	minTargets = 10
	maxTargets = 28
	// sameCentre and otherCentre are the times of a message.
	sameCentre  = 300 * time.Microsecond
	otherCentre = 1500 * time.Microsecond
	// One call in ten is long. Long calls take longFactor times the work of short ones, and both vary with workSigma.
	longFraction = 0.1
	longFactor   = 4
	workSigma    = 0.7
	objective    = 1500 * time.Millisecond
	deadline     = 3 * time.Second
	// tick is the interval at which the speed of a target may change.
	tick = 100 * time.Millisecond
	// warmUp is the time at the start that is not counted, and settled that after a change.
	warmUp  = 5 * time.Second
	settled = 3 * time.Second
)

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; last := old[len(old)-1]; *e = old[:len(old)-1]; return last }

// run is one scenario with one policy.
type run struct {
	scenario   *scenario
	policy     policy
	length     time.Duration
	start, now time.Time
	events     events
	sequence   int
	random     *rand.Rand
	source     *rand.PCG
	targets    []*target
	daemons    []*daemon
	index      map[model.DaemonID]int
	versions   []*routing.Version // by data centre
	result     tally
}

// Options are the size and the load of the runs.
type Options struct {
	Daemons, Centres int
	// Utilization is the load as a part of the capacity of all targets.
	Utilization float64
	Length      time.Duration
	Seed        uint64
}

// tally counts the calls of a run.
type tally struct {
	arrived, inTime, refused, crossed int
	// lateArrived and lateInTime count the calls that arrived once the change had settled.
	lateArrived, lateInTime int
	latencies               []float64
}

func newRun(s *scenario, p policy, o Options) *run {
	r := &run{
		scenario: s, policy: p, length: o.Length, versions: make([]*routing.Version, o.Centres), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(o.Seed, 1)), source: rand.NewPCG(o.Seed, 2), index: map[model.DaemonID]int{},
	}
	targets := min(max(o.Daemons/3, minTargets), maxTargets)
	view := model.View{Region: "r", Configuration: &model.Configuration{
		Services: []model.Service{{Name: "s", Versions: []model.VersionShare{{Version: "v", Share: model.FullShare}}}},
	}}
	capacity := 0.0
	for i := range targets {
		id := model.DaemonID("d" + strconv.Itoa(1000+i))
		r.index[id] = i
		view.Targets = append(view.Targets, model.Target{
			Daemon: id, Service: "s", Version: "v", DataCentre: centreName(i % o.Centres), Region: "r", State: model.TargetReady,
			Slots: s.slots(i),
		})
		r.targets = append(r.targets, r.newTarget(i))
		capacity += r.weight(i, 0, false)
	}
	for i := range r.versions {
		own := view
		own.DataCentre = centreName(i)
		r.versions[i], _ = routing.NewTable(&own).Service("s").SelectVersion(0)
	}
	between := time.Duration(float64(o.Daemons) / (capacity * o.Utilization) * float64(time.Second))
	for i := range o.Daemons {
		d := &daemon{run: r, centre: i % o.Centres, targets: make([]observed, targets)}
		r.daemons = append(r.daemons, d)
		r.arriveAfter(d, between)
	}
	return r
}

func centreName(i int) model.DataCentre { return model.DataCentre("c" + strconv.Itoa(i)) }

// weight returns the capacity of a target. Noise is averaged, since no weights follow it.
func (r *run) weight(i int, at time.Duration, changed bool) float64 {
	if r.scenario.name == "noise" {
		return float64(defaultSlots) / meanWork.Seconds() / (1 - noisyFraction + noisyFraction/noisySpeed)
	}
	return r.scenario.capacity(i, at, changed)
}

func (r *run) newTarget(i int) *target {
	t := &target{run: r, index: i, queue: admission.NewPriorityQueue(), waiting: map[admission.Ticket]*call{}, updated: r.now}
	t.queue.SetTarget(r.now, r.scenario.slots(i), true)
	t.queue.SetLearning(r.policy.learn)
	var onTick func()
	onTick = func() {
		t.update()
		r.after(tick, onTick)
	}
	r.after(0, onTick)
	return t
}

func (r *run) elapsed() time.Duration { return r.now.Sub(r.start) }

// changed reports whether the first half of the run is over.
func (r *run) changed() bool { return r.scenario.changes && r.elapsed() >= r.length/2 }

func (r *run) delay(d *daemon, t *target) time.Duration {
	if d.centre == t.centre() {
		return sameCentre
	}
	return otherCentre
}

func (r *run) after(d time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.events, event{r.now.Add(d), r.sequence, do})
}

func (r *run) play() {
	for r.elapsed() < r.length {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

// arriveAfter lets calls arrive at a daemon, with exponentially distributed times between them.
func (r *run) arriveAfter(d *daemon, between time.Duration) {
	r.after(time.Duration(r.random.ExpFloat64()*float64(between)), func() {
		r.arriveAfter(d, between)
		work := meanWork.Seconds() / (1 + longFraction*(longFactor-1)) * math.Exp(workSigma*r.random.NormFloat64()-workSigma*workSigma/2)
		c := &call{daemon: d, kind: "short", arrived: r.now, objective: r.now.Add(objective), deadline: r.now.Add(deadline)}
		if r.random.Float64() < longFraction {
			c.kind, work = "long", longFactor*work
		}
		c.left = time.Duration(work * float64(time.Second))
		d.send(c)
	})
}

// counts reports whether a call counts, and whether it arrived once the change had settled. Calls of the last seconds, which may not
// have ended, do not count.
func (r *run) counts(c *call) (all, afterChange bool) {
	at := c.arrived.Sub(r.start)
	all = at >= warmUp && at < r.length-deadline
	return all, all && r.scenario.changes && at >= r.length/2+settled
}

func (r *run) ended(c *call) {
	all, afterChange := r.counts(c)
	if !all {
		return
	}
	r.count(afterChange, !r.now.After(c.objective))
	r.result.latencies = append(r.result.latencies, r.now.Sub(c.arrived).Seconds())
	if c.target.centre() != c.daemon.centre {
		r.result.crossed++
	}
}

func (r *run) refused(c *call) {
	if all, afterChange := r.counts(c); all {
		r.result.refused++
		r.count(afterChange, false)
	}
}

func (r *run) count(afterChange, inTime bool) {
	r.result.arrived++
	if inTime {
		r.result.inTime++
	}
	if afterChange {
		r.result.lateArrived++
		if inTime {
			r.result.lateInTime++
		}
	}
}
