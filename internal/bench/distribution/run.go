package distribution

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// runner is one run of the design.
type runner struct {
	o    Options
	f    *fleet.Fleet
	wire *wire
	last model.Number
	// written are the times of the numbers; shown is the highest number that a daemon showed, since shownAt.
	written map[model.Number]time.Time
	shown   map[*fleet.Node]model.Number
	shownAt map[*fleet.Node]time.Time
	// upSince is since when a daemon serves; samples of changes written before are not taken from it.
	upSince map[*fleet.Node]time.Time
	samples []time.Duration
	inForce []time.Duration
	calls   map[int64]*[2]int
}

// Run measures the design and the naive baselines on the same schedule of changes.
func Run(o Options) Report {
	before := heap()
	r := &runner{
		o: o, f: fleet.New(rand.New(rand.NewPCG(o.Seed, 1))), wire: newWire(),
		written: map[model.Number]time.Time{}, shown: map[*fleet.Node]model.Number{}, shownAt: map[*fleet.Node]time.Time{},
		upSince: map[*fleet.Node]time.Time{}, calls: map[int64]*[2]int{},
	}
	r.f.Delay, r.f.Store.Delay = delay, storeDelayOf
	r.f.Transcode, r.f.WrapHandler, r.f.OnEffect = r.wire.carry, r.wire.handling, r.published
	r.f.Store.OnCall = r.called
	r.f.AddDaemons(o.Daemons, o.Centres, o.Services)
	r.write()
	rep := Report{Options: o}
	rep.Start = r.start()
	r.steady(&rep)
	rep.LeaderLost = r.loseLeader()
	rep.Return = r.returnAll()
	r.state(&rep, before)
	rep.Naive = []Naive{watchAll(o, r.document()), pollAll(o, r.document())}
	return rep
}

// write stores the next configuration; a move is active in the second half of the run.
func (r *runner) write() {
	r.last++
	r.written[r.last] = r.f.Now
	r.f.Store.Write(r.document())
}

func (r *runner) document() *model.Configuration {
	c := fleet.SampleConfiguration(r.last, r.o.Services)
	if int(r.last) > r.o.Changes/2 {
		c.Moves = []model.Move{{
			ID: "m1", Service: "service-00", From: "v1", To: "v2", Phase: model.PhaseRunning, Number: r.last,
			Since: r.f.Now, Deadline: r.f.Now, Steps: make([]model.Step, 6),
		}}
	}
	return c
}

// published takes the samples of convergence: the time from a write to the view that shows it or a later one.
func (r *runner) published(n *fleet.Node, e effect.Effect) {
	p, ok := e.(effect.Publish)
	if !ok || !p.View.Ready {
		return
	}
	number := p.View.Configuration.Number
	since, up := r.upSince[n]
	if !up {
		r.upSince[n] = r.f.Now
		since = r.f.Now
	}
	for i := r.shown[n] + 1; i <= number; i++ {
		if at := r.written[i]; at.After(since) {
			r.samples = append(r.samples, r.f.Now.Sub(at))
		}
	}
	if number > r.shown[n] {
		r.shown[n], r.shownAt[n] = number, r.f.Now
	}
}

func (r *runner) called(_ *fleet.Node, call store.Call) {
	second := r.f.Now.Unix()
	if r.calls[second] == nil {
		r.calls[second] = &[2]int{}
	}
	if call.Kind.IsWrite() {
		r.calls[second][1]++
	} else {
		r.calls[second][0]++
	}
}

func (r *runner) boot(n *fleet.Node) {
	delete(r.upSince, n)
	n.Boot()
}

// startWithin boots all daemons at random times and waits until all are ready.
func (r *runner) startWithin(d time.Duration) Surge {
	from := r.f.Now
	for _, n := range r.f.Nodes {
		r.f.After(time.Duration(r.f.Rand.Float64()*float64(d)), func() { r.boot(n) })
	}
	s := Surge{}
	for range 600 {
		r.f.Run(100 * time.Millisecond)
		if r.ready() == len(r.f.Nodes) {
			break
		}
	}
	s.Ready, s.All = r.ready(), r.f.Now.Sub(from)
	for second, c := range r.calls {
		if second >= from.Unix() {
			s.PeakReads, s.PeakWrites = max(s.PeakReads, c[0]), max(s.PeakWrites, c[1])
		}
	}
	return s
}

func (r *runner) ready() int {
	ready := 0
	for _, n := range r.f.Nodes {
		if n.Alive && n.View != nil && n.View.Ready {
			ready++
		}
	}
	return ready
}

func (r *runner) start() Surge {
	s := r.startWithin(returnWithin)
	r.f.Run(20 * time.Second)
	return s
}

func (r *runner) returnAll() Surge {
	for _, n := range r.f.Nodes {
		n.Kill()
	}
	r.f.Run(20 * time.Second)
	return r.startWithin(returnWithin)
}

// steady runs the schedule of changes, restarts, kills and observed outcomes.
func (r *runner) steady(rep *Report) {
	clear(r.wire.usage)
	clear(r.calls)
	r.samples, r.inForce = nil, nil
	s := r.f.Store
	reads, writes, watches := s.Reads, s.Writes, s.Watches
	from := r.f.Now
	if driver := r.leader(); driver != nil {
		driver.Agent.SetDriver(true)
	}
	r.scheduleRestarts(time.Duration(r.o.Changes) * changeInterval)
	r.observe(time.Duration(r.o.Changes) * changeInterval)
	for i := range r.o.Changes {
		r.write()
		if i == r.o.Changes/2 {
			r.f.After(killAfter, r.killRelays)
		}
		r.waitInForce()
		r.f.Run(changeInterval - r.f.Now.Sub(r.written[r.last]))
	}
	for range burst {
		r.write()
		r.f.Run(burstInterval)
	}
	r.waitInForce()
	r.f.Run(changeInterval)
	span := r.f.Now.Sub(from)
	rep.measure(r, span)
	seconds := span.Seconds()
	rep.Reads, rep.Writes = float64(s.Reads-reads)/seconds, float64(s.Writes-writes)/seconds
	rep.Watches = float64(s.Watches-watches) / seconds
}

// waitInForce lets time pass until a leader reports the last number in force everywhere, at most for 30 s.
func (r *runner) waitInForce() {
	for range 300 {
		r.f.Run(100 * time.Millisecond)
		n := r.leader()
		if n == nil {
			continue
		}
		if f := n.Agent.InForce(); f.Number >= r.last && len(f.Blind) == 0 {
			r.inForce = append(r.inForce, r.f.Now.Sub(r.written[r.last]))
			return
		}
	}
	r.inForce = append(r.inForce, r.f.Now.Sub(r.written[r.last]))
}

// loseLeader kills a leader right after a change, and returns the time until every live daemon shows the change and
// until another leader reports it in force.
func (r *runner) loseLeader() [2]time.Duration {
	lost := r.leader()
	r.write()
	r.f.Run(killAfter)
	if lost != nil {
		lost.Kill()
	}
	shown := time.Duration(0)
	for range 600 {
		if r.f.Now.Sub(r.written[r.last]) > time.Second && r.allShow(r.last) {
			break
		}
		r.f.Run(100 * time.Millisecond)
	}
	for n, number := range r.shown {
		if n.Alive && number >= r.last {
			shown = max(shown, r.shownAt[n].Sub(r.written[r.last]))
		}
	}
	r.waitInForce()
	return [2]time.Duration{shown, r.inForce[len(r.inForce)-1]}
}

func (r *runner) allShow(number model.Number) bool {
	for _, n := range r.f.Nodes {
		if n.Alive && r.shown[n] < number {
			return false
		}
	}
	return true
}

// leader returns the first leader, or nil.
func (r *runner) leader() *fleet.Node {
	for _, n := range r.f.Nodes {
		if n.Alive && n.Agent.Role() == agent.RoleLeader {
			return n
		}
	}
	return nil
}

func (r *runner) killRelays() {
	var relays []*fleet.Node
	for _, n := range r.f.Nodes {
		if n.Alive && n.Agent.Role() == agent.RoleRelay {
			relays = append(relays, n)
		}
	}
	r.f.Rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	for _, n := range relays[:int(r.o.Kill*float64(len(relays))+0.5)] {
		r.bounce(n)
	}
}

// bounce kills a daemon and boots it again after downFor.
func (r *runner) bounce(n *fleet.Node) {
	n.Kill()
	life := n.Generation()
	r.f.After(downFor, func() {
		if n.Generation() == life {
			r.boot(n)
		}
	})
}

func (r *runner) scheduleRestarts(span time.Duration) {
	rate := float64(restartsPerDay) * float64(r.o.Daemons) / fullSize / (24 * time.Hour).Seconds()
	for range int(rate*span.Seconds() + 0.5) {
		n := r.f.Nodes[r.f.Rand.IntN(len(r.f.Nodes))]
		r.f.After(time.Duration(r.f.Rand.Float64()*float64(span)), func() {
			if !n.Alive {
				return
			}
			n.Handle(effect.TargetChanged{State: model.TargetDraining})
			r.f.After(time.Second, func() { r.bounce(n) })
		})
	}
}

// observe reports outcomes of calls every second on some daemons: two routes of two versions.
func (r *runner) observe(span time.Duration) {
	var sums []model.KeyedSum
	for _, route := range []model.RouteName{"service-00-read", "service-00-write"} {
		for _, v := range []model.VersionName{"v1", "v2"} {
			sum := model.OutcomeSum{Calls: 100, Failures: 1}
			for i := range 8 {
				sum.Latency[i+4] = 12
			}
			sums = append(sums, model.KeyedSum{
				OutcomeKey: model.OutcomeKey{Service: "service-00", Route: route, Version: v}, OutcomeSum: sum,
			})
		}
	}
	for _, n := range r.f.Nodes {
		if n.Index/r.o.Centres%observers != 0 {
			continue
		}
		for at := time.Duration(r.f.Rand.Int64N(int64(time.Second))); at < span; at += time.Second {
			r.f.After(at, func() { n.Handle(effect.OutcomesObserved{Sums: slices.Clone(sums)}) })
		}
	}
}

// state measures the heap that each role holds by dropping the agents of one role after the other.
func (r *runner) state(rep *Report, before uint64) {
	rep.Heap = heap() - before
	for _, role := range []agent.Role{agent.RoleLeaf, agent.RoleRelay, agent.RoleLeader} {
		full, count := heap(), 0
		for _, n := range r.f.Nodes {
			if n.Agent != nil && n.Agent.Role() == role {
				n.Agent, n.View, n.Alive = nil, nil, false
				count++
			}
		}
		if u := rep.Roles[role]; count > 0 {
			u.State = float64(full-min(full, heap())) / float64(count)
			rep.Roles[role] = u
		}
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
