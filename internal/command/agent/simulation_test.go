package agent_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/command/distribution"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const services = 3

// simulation is a fleet with injected faults. It checks the fleet's views against the configurations that were written.
type simulation struct {
	fleet *fleet.Fleet
	// configurations are the distributed forms of the valid configurations, by number.
	configurations map[model.Number]string
	lastNumber     model.Number
	lastValid      *model.Configuration
	// servedNumber is the highest number that a daemon served in any of its processes; lastView is the last view of its
	// current process.
	servedNumber          map[model.DaemonID]model.Number
	lastView              map[model.DaemonID]*model.View
	checkedConfigurations map[*model.Configuration]bool
	// violations are violated invariants. differences are differences between the views after the faults ended and the
	// expected state.
	violations, differences []string

	// loss, duplicate and delayed are the probabilities that a message is lost, delivered twice or delayed.
	loss, duplicate, delayed float64
	// partitioned is set while data centres cannot reach each other; documentInvalid while the stored document is invalid.
	partitioned, documentInvalid bool
	replacements                 int
}

func newSimulation(seed uint64, sizes ...int) *simulation {
	sim := &simulation{
		fleet:          fleet.New(rand.New(rand.NewPCG(seed, 7))),
		configurations: map[model.Number]string{}, servedNumber: map[model.DaemonID]model.Number{},
		lastView: map[model.DaemonID]*model.View{}, checkedConfigurations: map[*model.Configuration]bool{},
	}
	sim.fleet.Fault, sim.fleet.OnEffect = sim.linkFault, sim.checkEffect
	sim.fleet.Store.Delay = func(*fleet.Node) time.Duration { return time.Duration(1+sim.fleet.Rand.IntN(6)) * time.Millisecond }
	var seeds []string
	for dc, size := range sizes {
		for i := range size {
			n := len(sim.fleet.Nodes)
			address := fmt.Sprintf("p%d", n)
			seeds = append(seeds, address)
			sim.fleet.Add(model.Target{
				Daemon: model.DaemonID(fmt.Sprintf("d%d", n)), Service: model.ServiceName(fmt.Sprintf("service-%02d", n%services)),
				Version: model.VersionName(fmt.Sprintf("v%d", 1+i%2)), DataCentre: model.DataCentre(fmt.Sprintf("dc%d", dc)),
				Region: "r", Address: "a" + address, PeerAddress: address, State: model.TargetReady,
			}, nil)
		}
	}
	for _, n := range sim.fleet.Nodes {
		n.Seeds = seeds
	}
	return sim
}

func (sim *simulation) boot(n *fleet.Node) {
	delete(sim.lastView, n.Target.Daemon)
	n.Boot()
}

// cutOff disconnects a data centre from the platform and, if links is set, from the other data centres.
func (sim *simulation) cutOff(dc model.DataCentre, links bool) {
	sim.fleet.Store.Partitioned = func(n *fleet.Node) bool { return n.Target.DataCentre == dc }
	sim.partitioned = links
}

// replace boots a daemon at new addresses.
func (sim *simulation) replace(n *fleet.Node) {
	sim.replacements++
	delete(sim.lastView, n.Target.Daemon)
	n.Relocate(fmt.Sprintf("a-new%d", sim.replacements), fmt.Sprintf("p-new%d", sim.replacements))
}

// linkFault draws the fault of a message, or loses the message if the data centres are partitioned.
func (sim *simulation) linkFault(from, to *fleet.Node) fleet.LinkFault {
	if sim.partitioned && from.Target.DataCentre != to.Target.DataCentre {
		return fleet.LinkFault{Lost: true}
	}
	r := sim.fleet.Rand
	fault := fleet.LinkFault{Lost: r.Float64() < sim.loss, Duplicated: r.Float64() < sim.duplicate}
	if r.Float64() < sim.delayed {
		fault.ExtraDelay = time.Duration(r.IntN(1500)) * time.Millisecond
	}
	return fault
}

// write stores the next configuration. Configurations whose number modulo 5 is 3 or 4 have a move, and every seventh lacks a
// service.
func (sim *simulation) write() {
	sim.lastNumber++
	c := fleet.SampleConfiguration(sim.lastNumber, services)
	if sim.lastNumber%5 >= 3 {
		c.Moves = []model.Move{{
			ID: model.PlanID(fmt.Sprintf("m%d", sim.lastNumber/5)), Service: "service-00", From: "v1", To: "v2",
			Phase: model.PhaseRunning, Number: sim.lastNumber, Since: fleet.Start,
		}}
	}
	if sim.lastNumber%7 == 0 {
		c.Services = c.Services[:services-1]
		c.Routes = c.Routes[:2*(services-1)]
	}
	sim.lastValid, sim.documentInvalid = c, false
	sim.configurations[c.Number] = canonical(distribution.Strip(c))
	sim.fleet.Store.Write(c)
}

// writeInvalid stores a configuration whose route refers to a service that it does not have.
func (sim *simulation) writeInvalid() {
	sim.documentInvalid = true
	sim.lastNumber++
	c := fleet.SampleConfiguration(sim.lastNumber, services)
	c.Routes = append(c.Routes, model.Route{Name: "bad", Service: "missing", PathPrefix: "/bad"})
	sim.fleet.Store.Write(c)
}

// writeGarbage stores bytes that cannot be decoded.
func (sim *simulation) writeGarbage() {
	sim.documentInvalid = true
	sim.fleet.Store.WriteRaw([]byte("{"))
}

func canonical(c *model.Configuration) string {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func (sim *simulation) addViolation(n *fleet.Node, format string, args ...any) {
	sim.violations = append(sim.violations,
		fmt.Sprintf("%s at %v: ", n.Target.Daemon, sim.fleet.Now.Sub(fleet.Start))+fmt.Sprintf(format, args...))
}

func (sim *simulation) addDifference(n *fleet.Node, format string, args ...any) {
	sim.differences = append(sim.differences,
		fmt.Sprintf("%s at %v: ", n.Target.Daemon, sim.fleet.Now.Sub(fleet.Start))+fmt.Sprintf(format, args...))
}

// checkEffect checks each published view against the invariants.
func (sim *simulation) checkEffect(n *fleet.Node, e effect.Effect) {
	p, ok := e.(effect.Publish)
	if !ok {
		return
	}
	v, id := p.View, n.Target.Daemon
	number := v.Configuration.Number
	if previous := sim.lastView[id]; previous != nil {
		if number < previous.Configuration.Number {
			sim.addViolation(n, "number decreased from %d to %d", previous.Configuration.Number, number)
		}
		sim.checkMarksKept(n, previous, v)
	}
	sim.lastView[id] = v
	if v.Ready && number < sim.servedNumber[id] {
		sim.addViolation(n, "serves %d after %d", number, sim.servedNumber[id])
	}
	if v.Ready {
		sim.servedNumber[id] = number
	}
	sim.checkReferences(n, v)
	if number == 0 || sim.checkedConfigurations[v.Configuration] {
		return
	}
	sim.checkedConfigurations[v.Configuration] = true
	if got := canonical(v.Configuration); got != sim.configurations[number] {
		sim.addViolation(n, "configuration %d is %s instead of %s", number, got, sim.configurations[number])
	}
	if problems := v.Configuration.Validate(); len(problems) > 0 {
		sim.addViolation(n, "configuration %d is invalid: %v", number, problems)
	}
}

// checkMarksKept checks that a view keeps the marks of active moves of the view before.
func (sim *simulation) checkMarksKept(n *fleet.Node, before, after *model.View) {
	for _, m := range before.Marks {
		if move := after.Configuration.Move(m.Move); move != nil && !slices.Contains(withheld(after), withheldBy(m)) {
			sim.addViolation(n, "mark %s of active move %s is lost", m.VersionRef, m.Move)
		}
	}
}

// checkReferences checks that every reference in a view resolves within the view.
func (sim *simulation) checkReferences(n *fleet.Node, v *model.View) {
	for _, r := range v.Configuration.Routes {
		if v.Configuration.Service(r.Service) == nil {
			sim.addViolation(n, "route %s has no service", r.Name)
		}
	}
	for i, t := range v.Targets {
		s := v.Configuration.Service(t.Service)
		if s == nil || s.Version(t.Version) == nil {
			sim.addViolation(n, "target %s has no version", t.Daemon)
		}
		if i > 0 && v.Targets[i-1].Daemon >= t.Daemon {
			sim.addViolation(n, "targets out of order at %s", t.Daemon)
		}
	}
}

// sendMark sends a daemon a mark on the version of the last move.
func (sim *simulation) sendMark(n *fleet.Node) {
	n.Handle(effect.RequestReceived{Body: &message.Withhold{Marks: []model.Mark{{
		VersionRef: model.VersionRef{Service: "service-00", Version: "v2"}, By: n.Target.Daemon,
		Move: model.PlanID(fmt.Sprintf("m%d", sim.lastNumber/5)), At: sim.fleet.Now,
	}}}})
}

// endFaults ends all faults; daemons that are dead stay dead. An invalid document is replaced, since daemons that started
// after it was written have nothing to serve.
func (sim *simulation) endFaults() {
	sim.fleet.Store.Partitioned = nil
	if sim.documentInvalid {
		sim.write()
	}
	sim.loss, sim.duplicate, sim.delayed, sim.partitioned = 0, 0, 0, false
	sim.fleet.Store.SetDown(false)
	sim.fleet.Store.LoseResponse = nil
	for _, n := range sim.fleet.Nodes {
		n.Thaw()
	}
}

// loseResponses makes the store lose the responses to a fraction of the writes.
func (sim *simulation) loseResponses(fraction float64) {
	sim.fleet.Store.LoseResponse = func(call store.Call) bool { return call.Kind.IsWrite() && sim.fleet.Rand.Float64() < fraction }
}

// waitUntilEqual runs the fleet without further faults until the views equal the expected state twice in a row, for at most a
// minute.
func (sim *simulation) waitUntilEqual() {
	equal := 0
	for range 12 {
		sim.fleet.Run(5 * time.Second)
		sim.differences = nil
		if sim.compareViews(); len(sim.differences) > 0 {
			equal = 0
			continue
		}
		if equal++; equal == 2 {
			return
		}
	}
}

// compareViews checks the view of each live daemon against the expected state: the last valid configuration that was written,
// the local target of every live daemon, and every mark that a live daemon has.
func (sim *simulation) compareViews() {
	marks := map[string]bool{}
	for _, n := range sim.fleet.Nodes {
		for _, m := range withheld(n.View) {
			marks[m] = n.Alive || marks[m]
		}
	}
	for _, n := range sim.fleet.Nodes {
		if !n.Alive {
			continue
		}
		if !n.View.Ready || n.View.Isolated {
			sim.addDifference(n, "ready %v, isolated %v after the faults ended", n.View.Ready, n.View.Isolated)
		}
		if got := canonical(n.View.Configuration); got != sim.configurations[sim.lastValid.Number] {
			sim.addDifference(n, "configuration is %d instead of %d", n.View.Configuration.Number, sim.lastValid.Number)
		}
		for m, alive := range marks {
			if alive && !slices.Contains(withheld(n.View), m) {
				sim.addDifference(n, "mark %s is missing", m)
			}
		}
		if got, want := states(live(n.View.Targets)), states(sim.expectedTargets()); got != want {
			sim.addDifference(n, "targets are %s instead of %s", got, want)
		}
	}
}

// withheldBy identifies a mark by its version and move.
func withheldBy(m model.Mark) string { return m.String() + " " + string(m.Move) }

func withheld(v *model.View) []string {
	var list []string
	if v == nil {
		return nil
	}
	for _, m := range v.Marks {
		list = append(list, withheldBy(m))
	}
	return list
}

func states(targets []model.Target) string {
	text := ""
	for _, t := range targets {
		text += fmt.Sprintf("%s#%d@%s=%s ", t.Daemon, t.Incarnation%1e13/1e6, t.PeerAddress, t.State)
	}
	return text
}

func live(targets []model.Target) []model.Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t model.Target) bool { return t.State == model.TargetSilent })
}

// expectedTargets returns the targets of the live daemons whose version the last valid configuration has.
func (sim *simulation) expectedTargets() []model.Target {
	var list []model.Target
	for _, n := range sim.fleet.Nodes {
		s := sim.lastValid.Service(n.Target.Service)
		if n.Alive && s != nil && s.Version(n.Target.Version) != nil {
			list = append(list, n.Agent.Self())
		}
	}
	return list
}
