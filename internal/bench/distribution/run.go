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

// runner holds the state of one run of the simulated fleet.
type runner struct {
	options    Options
	fleet      *fleet.Fleet
	wire       *wire
	lastNumber model.Number
	// writtenAt holds the time of each write. shown is the highest configuration number that a daemon published, and
	// shownAt the time at which it did.
	writtenAt map[model.Number]time.Time
	shown     map[*fleet.Node]model.Number
	shownAt   map[*fleet.Node]time.Time
	// upSince is the time since which a daemon serves. Changes written earlier give no samples from this daemon.
	upSince map[*fleet.Node]time.Time
	// samples are the convergence times, inForce the times until a change was reported in force everywhere.
	samples []time.Duration
	inForce []time.Duration
	// callsBySecond counts platform reads and writes by second of the virtual clock.
	callsBySecond map[int64]*[2]int
}

// Run measures the simulated fleet and the naive baselines on the same schedule of changes.
func Run(o Options) Report {
	heapBefore := heap()
	r := &runner{
		options: o, fleet: fleet.New(rand.New(rand.NewPCG(o.Seed, 1))), wire: newWire(),
		writtenAt: map[model.Number]time.Time{}, shown: map[*fleet.Node]model.Number{}, shownAt: map[*fleet.Node]time.Time{},
		upSince: map[*fleet.Node]time.Time{}, callsBySecond: map[int64]*[2]int{},
	}
	r.fleet.Delay, r.fleet.Store.Delay = linkDelay, storeDelayFrom
	r.fleet.Transcode, r.fleet.WrapHandler, r.fleet.OnEffect = r.wire.transcode, r.wire.measureHandler, r.onEffect
	r.fleet.Store.OnCall = r.onStoreCall
	r.fleet.AddDaemons(o.Daemons, o.Centres, o.Services)
	r.writeNext()
	rep := Report{Options: o}
	rep.Start = r.startAll()
	r.runSteadyState(&rep)
	rep.LeaderLost = r.killLeader()
	rep.Return = r.restartAll()
	r.measureState(&rep, heapBefore)
	rep.Naive = []Naive{simulateWatches(o, r.document()), simulatePolls(o, r.document())}
	return rep
}

// writeNext stores the next configuration.
func (r *runner) writeNext() {
	r.lastNumber++
	r.writtenAt[r.lastNumber] = r.fleet.Now
	r.fleet.Store.Write(r.document())
}

// document returns the configuration with the last number; a move is active in it in the second half of the run.
func (r *runner) document() *model.Configuration {
	c := fleet.SampleConfiguration(r.lastNumber, r.options.Services)
	if int(r.lastNumber) > r.options.Changes/2 {
		c.Moves = []model.Move{{
			ID: "m1", Service: "service-00", From: "v1", To: "v2", Phase: model.PhaseRunning, Number: r.lastNumber,
			Since: r.fleet.Now, Deadline: r.fleet.Now, Steps: make([]model.Step, 6),
		}}
	}
	return c
}

// onEffect records a convergence sample for each newly published number: the time from its write to the first view with
// this number or a higher one.
func (r *runner) onEffect(n *fleet.Node, e effect.Effect) {
	p, ok := e.(effect.Publish)
	if !ok || !p.View.Ready {
		return
	}
	number := p.View.Configuration.Number
	since, up := r.upSince[n]
	if !up {
		r.upSince[n] = r.fleet.Now
		since = r.fleet.Now
	}
	for i := r.shown[n] + 1; i <= number; i++ {
		if at := r.writtenAt[i]; at.After(since) {
			r.samples = append(r.samples, r.fleet.Now.Sub(at))
		}
	}
	if number > r.shown[n] {
		r.shown[n], r.shownAt[n] = number, r.fleet.Now
	}
}

func (r *runner) onStoreCall(_ *fleet.Node, call store.Call) {
	second := r.fleet.Now.Unix()
	if r.callsBySecond[second] == nil {
		r.callsBySecond[second] = &[2]int{}
	}
	if call.Kind.IsWrite() {
		r.callsBySecond[second][1]++
	} else {
		r.callsBySecond[second][0]++
	}
}

func (r *runner) boot(n *fleet.Node) {
	delete(r.upSince, n)
	n.Boot()
}

// bootAllWithin boots all daemons at random times within d and waits until all are ready, at most for 60 s.
func (r *runner) bootAllWithin(d time.Duration) Surge {
	from := r.fleet.Now
	for _, n := range r.fleet.Nodes {
		r.fleet.After(time.Duration(r.fleet.Rand.Float64()*float64(d)), func() { r.boot(n) })
	}
	s := Surge{}
	for range 600 {
		r.fleet.Run(100 * time.Millisecond)
		if r.countReady() == len(r.fleet.Nodes) {
			break
		}
	}
	s.Ready, s.All = r.countReady(), r.fleet.Now.Sub(from)
	for second, c := range r.callsBySecond {
		if second >= from.Unix() {
			s.PeakReads, s.PeakWrites = max(s.PeakReads, c[0]), max(s.PeakWrites, c[1])
		}
	}
	return s
}

func (r *runner) countReady() int {
	ready := 0
	for _, n := range r.fleet.Nodes {
		if n.Alive && n.View != nil && n.View.Ready {
			ready++
		}
	}
	return ready
}

func (r *runner) startAll() Surge {
	s := r.bootAllWithin(startWindow)
	r.fleet.Run(20 * time.Second)
	return s
}

func (r *runner) restartAll() Surge {
	for _, n := range r.fleet.Nodes {
		n.Kill()
	}
	r.fleet.Run(20 * time.Second)
	return r.bootAllWithin(startWindow)
}

// runSteadyState runs the schedule of changes, restarts, kills and observed outcomes, and measures it.
func (r *runner) runSteadyState(rep *Report) {
	clear(r.wire.usage)
	clear(r.callsBySecond)
	r.samples, r.inForce = nil, nil
	s := r.fleet.Store
	reads, writes, watches := s.Reads, s.Writes, s.Watches
	from := r.fleet.Now
	if driver := r.leader(); driver != nil {
		driver.Agent.SetDriver(true)
	}
	r.scheduleRestarts(time.Duration(r.options.Changes) * changeInterval)
	r.scheduleOutcomes(time.Duration(r.options.Changes) * changeInterval)
	for i := range r.options.Changes {
		r.writeNext()
		if i == r.options.Changes/2 {
			r.fleet.After(killDelay, r.killRelays)
		}
		r.waitInForce()
		r.fleet.Run(changeInterval - r.fleet.Now.Sub(r.writtenAt[r.lastNumber]))
	}
	for range burstChanges {
		r.writeNext()
		r.fleet.Run(burstInterval)
	}
	r.waitInForce()
	r.fleet.Run(changeInterval)
	span := r.fleet.Now.Sub(from)
	rep.fillSteadyState(r, span)
	seconds := span.Seconds()
	rep.Reads, rep.Writes = float64(s.Reads-reads)/seconds, float64(s.Writes-writes)/seconds
	rep.Watches = float64(s.Watches-watches) / seconds
}

// waitInForce advances the clock until a leader reports the last number in force everywhere, at most for 30 s, and
// records the time since the write.
func (r *runner) waitInForce() {
	for range 300 {
		r.fleet.Run(100 * time.Millisecond)
		n := r.leader()
		if n == nil {
			continue
		}
		if f := n.Agent.InForce(); f.Number >= r.lastNumber && len(f.Blind) == 0 {
			r.inForce = append(r.inForce, r.fleet.Now.Sub(r.writtenAt[r.lastNumber]))
			return
		}
	}
	r.inForce = append(r.inForce, r.fleet.Now.Sub(r.writtenAt[r.lastNumber]))
}

// killLeader kills a leader killDelay after a change. It returns the time until every live daemon shows the change and
// the time until another leader reports it in force.
func (r *runner) killLeader() [2]time.Duration {
	lost := r.leader()
	r.writeNext()
	r.fleet.Run(killDelay)
	if lost != nil {
		lost.Kill()
	}
	shown := time.Duration(0)
	for range 600 {
		if r.fleet.Now.Sub(r.writtenAt[r.lastNumber]) > time.Second && r.allShowNumber(r.lastNumber) {
			break
		}
		r.fleet.Run(100 * time.Millisecond)
	}
	for n, number := range r.shown {
		if n.Alive && number >= r.lastNumber {
			shown = max(shown, r.shownAt[n].Sub(r.writtenAt[r.lastNumber]))
		}
	}
	r.waitInForce()
	return [2]time.Duration{shown, r.inForce[len(r.inForce)-1]}
}

func (r *runner) allShowNumber(number model.Number) bool {
	for _, n := range r.fleet.Nodes {
		if n.Alive && r.shown[n] < number {
			return false
		}
	}
	return true
}

// leader returns the first live leader, or nil.
func (r *runner) leader() *fleet.Node {
	for _, n := range r.fleet.Nodes {
		if n.Alive && n.Agent.Role() == agent.RoleLeader {
			return n
		}
	}
	return nil
}

func (r *runner) killRelays() {
	var relays []*fleet.Node
	for _, n := range r.fleet.Nodes {
		if n.Alive && n.Agent.Role() == agent.RoleRelay {
			relays = append(relays, n)
		}
	}
	r.fleet.Rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	for _, n := range relays[:int(r.options.Kill*float64(len(relays))+0.5)] {
		r.killAndReboot(n)
	}
}

// killAndReboot kills a daemon and boots it again after downtime.
func (r *runner) killAndReboot(n *fleet.Node) {
	n.Kill()
	generation := n.Generation()
	r.fleet.After(downtime, func() {
		if n.Generation() == generation {
			r.boot(n)
		}
	})
}

func (r *runner) scheduleRestarts(span time.Duration) {
	rate := float64(restartsPerDay) * float64(r.options.Daemons) / fullFleetSize / (24 * time.Hour).Seconds()
	for range int(rate*span.Seconds() + 0.5) {
		n := r.fleet.Nodes[r.fleet.Rand.IntN(len(r.fleet.Nodes))]
		r.fleet.After(time.Duration(r.fleet.Rand.Float64()*float64(span)), func() {
			if !n.Alive {
				return
			}
			n.Handle(effect.TargetChanged{State: model.TargetDraining})
			r.fleet.After(time.Second, func() { r.killAndReboot(n) })
		})
	}
}

// scheduleOutcomes lets some daemons observe outcomes of calls every second, on two routes and two versions.
func (r *runner) scheduleOutcomes(span time.Duration) {
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
	for _, n := range r.fleet.Nodes {
		if n.Index/r.options.Centres%daemonsPerObserver != 0 {
			continue
		}
		for at := time.Duration(r.fleet.Rand.Int64N(int64(time.Second))); at < span; at += time.Second {
			r.fleet.After(at, func() { n.Handle(effect.OutcomesObserved{Sums: slices.Clone(sums)}) })
		}
	}
}

// measureState measures the heap that the agents of each role occupy by releasing the agents of one role after the other.
func (r *runner) measureState(rep *Report, before uint64) {
	rep.Heap = heap() - before
	for _, role := range []agent.Role{agent.RoleLeaf, agent.RoleRelay, agent.RoleLeader} {
		full, count := heap(), 0
		for _, n := range r.fleet.Nodes {
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
