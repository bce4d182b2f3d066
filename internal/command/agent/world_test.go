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

// world is a fleet under faults together with a naive source: the configuration that each number stands for.
type world struct {
	f      *fleet.Fleet
	source map[model.Number]string
	last   model.Number
	valid  *model.Configuration
	// served is the highest number that a daemon served in any process; held the last of its present process.
	served  map[model.DaemonID]model.Number
	held    map[model.DaemonID]*model.View
	checked map[*model.Configuration]bool
	// broken lists violated invariants, faults differences from the naive version after quiet.
	broken, faults []string

	loss, twice, cross float64
	cut, bad           bool
	ports              int
}

func newWorld(seed uint64, sizes ...int) *world {
	w := &world{
		f:      fleet.New(rand.New(rand.NewPCG(seed, 7))),
		source: map[model.Number]string{}, served: map[model.DaemonID]model.Number{},
		held: map[model.DaemonID]*model.View{}, checked: map[*model.Configuration]bool{},
	}
	w.f.Fault, w.f.Effect = w.fate, w.effect
	w.f.Store.Delay = func(*fleet.Node) time.Duration { return time.Duration(1+w.f.Rand.IntN(6)) * time.Millisecond }
	var seeds []string
	for dc, size := range sizes {
		for i := range size {
			n := len(w.f.Nodes)
			address := fmt.Sprintf("p%d", n)
			seeds = append(seeds, address)
			w.f.Add(model.Target{
				Daemon: model.DaemonID(fmt.Sprintf("d%d", n)), Service: model.ServiceName(fmt.Sprintf("service-%02d", n%services)),
				Version: model.VersionName(fmt.Sprintf("v%d", 1+i%2)), DataCentre: model.DataCentre(fmt.Sprintf("dc%d", dc)),
				Region: "r", Address: "a" + address, PeerAddress: address, State: model.TargetReady,
			}, nil)
		}
	}
	for _, n := range w.f.Nodes {
		n.Seeds = seeds
	}
	return w
}

func (w *world) boot(n *fleet.Node) {
	delete(w.held, n.Target.Daemon)
	n.Boot()
}

// cutStore cuts a data centre from the platform, and with links also from the others.
func (w *world) cutStore(dc model.DataCentre, links bool) {
	w.f.Store.Cut = func(n *fleet.Node) bool { return n.Target.DataCentre == dc }
	w.cut = links
}

// replace boots a daemon at other addresses.
func (w *world) replace(n *fleet.Node) {
	w.ports++
	delete(w.held, n.Target.Daemon)
	n.Move(fmt.Sprintf("a-new%d", w.ports), fmt.Sprintf("p-new%d", w.ports))
}

func (w *world) fate(from, to *fleet.Node) fleet.Fate {
	if w.cut && from.Target.DataCentre != to.Target.DataCentre {
		return fleet.Fate{Lost: true}
	}
	r := w.f.Rand
	fate := fleet.Fate{Lost: r.Float64() < w.loss, Twice: r.Float64() < w.twice}
	if r.Float64() < w.cross {
		fate.Extra = time.Duration(r.IntN(1500)) * time.Millisecond
	}
	return fate
}

// write stores the next configuration: every fifth starts or ends a move, every seventh drops a service.
func (w *world) write() {
	w.last++
	c := fleet.Sample(w.last, services)
	if w.last%5 >= 3 {
		c.Moves = []model.Move{{
			ID: model.PlanID(fmt.Sprintf("m%d", w.last/5)), Service: "service-00", From: "v1", To: "v2",
			Phase: model.PhaseRunning, Number: w.last, Since: fleet.Start,
		}}
	}
	if w.last%7 == 0 {
		c.Services = c.Services[:services-1]
		c.Routes = c.Routes[:2*(services-1)]
	}
	w.valid, w.bad = c, false
	w.source[c.Number] = canonical(distribution.Strip(c))
	w.f.Store.Write(c)
}

// writeBad stores a configuration whose route refers to a service that it does not have.
func (w *world) writeBad() {
	w.bad = true
	w.last++
	c := fleet.Sample(w.last, services)
	c.Routes = append(c.Routes, model.Route{Name: "bad", Service: "missing", PathPrefix: "/bad"})
	w.f.Store.Write(c)
}

// garbage stores bytes that are no document.
func (w *world) garbage() {
	w.bad = true
	w.f.Store.WriteRaw([]byte("{"))
}

func canonical(c *model.Configuration) string {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func (w *world) violated(n *fleet.Node, format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s at %v: ", n.Target.Daemon, w.f.Now.Sub(fleet.Start))+fmt.Sprintf(format, args...))
}

func (w *world) fault(n *fleet.Node, format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%s at %v: ", n.Target.Daemon, w.f.Now.Sub(fleet.Start))+fmt.Sprintf(format, args...))
}

// effect checks each published view against the invariants.
func (w *world) effect(n *fleet.Node, e effect.Effect) {
	p, ok := e.(effect.Publish)
	if !ok {
		return
	}
	v, id := p.View, n.Target.Daemon
	number := v.Configuration.Number
	if held := w.held[id]; held != nil {
		if number < held.Configuration.Number {
			w.violated(n, "number fell from %d to %d", held.Configuration.Number, number)
		}
		w.marksKept(n, held, v)
	}
	w.held[id] = v
	if v.Ready && number < w.served[id] {
		w.violated(n, "serves %d after %d", number, w.served[id])
	}
	if v.Ready {
		w.served[id] = number
	}
	w.resolved(n, v)
	if number == 0 || w.checked[v.Configuration] {
		return
	}
	w.checked[v.Configuration] = true
	if got := canonical(v.Configuration); got != w.source[number] {
		w.violated(n, "configuration %d is %s instead of %s", number, got, w.source[number])
	}
	if problems := v.Configuration.Validate(); len(problems) > 0 {
		w.violated(n, "configuration %d is invalid: %v", number, problems)
	}
}

func (w *world) marksKept(n *fleet.Node, before, after *model.View) {
	for _, m := range before.Marks {
		if move := after.Configuration.Move(m.Move); move != nil && !slices.Contains(withheld(after), withheldBy(m)) {
			w.violated(n, "mark %s of active move %s vanished", m.VersionRef, m.Move)
		}
	}
}

// resolved checks that every reference in a view resolves within the view.
func (w *world) resolved(n *fleet.Node, v *model.View) {
	for _, r := range v.Configuration.Routes {
		if v.Configuration.Service(r.Service) == nil {
			w.violated(n, "route %s has no service", r.Name)
		}
	}
	for i, t := range v.Targets {
		s := v.Configuration.Service(t.Service)
		if s == nil || s.Version(t.Version) == nil {
			w.violated(n, "target %s has no version", t.Daemon)
		}
		if i > 0 && v.Targets[i-1].Daemon >= t.Daemon {
			w.violated(n, "targets out of order at %s", t.Daemon)
		}
	}
}

// withhold gives a daemon a mark on the version of the last move.
func (w *world) withhold(n *fleet.Node) {
	n.Handle(effect.RequestReceived{Body: &message.Withhold{Marks: []model.Mark{{
		VersionRef: model.VersionRef{Service: "service-00", Version: "v2"}, By: n.Target.Daemon,
		Move: model.PlanID(fmt.Sprintf("m%d", w.last/5)), At: w.f.Now,
	}}}})
}

// heal ends all faults; daemons that are dead stay dead. A bad document is replaced, since daemons that started after it
// was written have nothing to serve.
func (w *world) heal() {
	w.f.Store.Cut = nil
	if w.bad {
		w.write()
	}
	w.loss, w.twice, w.cross, w.cut = 0, 0, 0, false
	w.f.Store.SetDown(false)
	w.f.Store.LoseAnswer = nil
	for _, n := range w.f.Nodes {
		n.Thaw()
	}
}

// loseAnswers makes the store lose the answers of some writes.
func (w *world) loseAnswers(share float64) {
	w.f.Store.LoseAnswer = func(call store.Call) bool { return call.Kind.IsWrite() && w.f.Rand.Float64() < share }
}

// settle lets quiet time pass until the views equal the naive ones twice in a row, at most a minute.
func (w *world) settle() {
	equal := 0
	for range 12 {
		w.f.Run(5 * time.Second)
		w.faults = nil
		if w.compare(); len(w.faults) > 0 {
			equal = 0
			continue
		}
		if equal++; equal == 2 {
			return
		}
	}
}

// compare checks each live view against the naive version: the last valid configuration straight from the source, and
// every live daemon's own target.
func (w *world) compare() {
	marks := map[string]bool{}
	for _, n := range w.f.Nodes {
		for _, m := range withheld(n.View) {
			marks[m] = n.Alive || marks[m]
		}
	}
	for _, n := range w.f.Nodes {
		if !n.Alive {
			continue
		}
		if !n.View.Ready || n.View.Isolated {
			w.fault(n, "ready %v, isolated %v after quiet", n.View.Ready, n.View.Isolated)
		}
		if got := canonical(n.View.Configuration); got != w.source[w.valid.Number] {
			w.fault(n, "configuration is %d instead of %d", n.View.Configuration.Number, w.valid.Number)
		}
		for m, alive := range marks {
			if alive && !slices.Contains(withheld(n.View), m) {
				w.fault(n, "mark %s is missing", m)
			}
		}
		if got, want := states(live(n.View.Targets)), states(w.targets()); got != want {
			w.fault(n, "targets are %s instead of %s", got, want)
		}
	}
}

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

// targets are the targets of the live daemons whose version the last valid configuration has.
func (w *world) targets() []model.Target {
	var list []model.Target
	for _, n := range w.f.Nodes {
		s := w.valid.Service(n.Target.Service)
		if n.Alive && s != nil && s.Version(n.Target.Version) != nil {
			list = append(list, n.Agent.Self())
		}
	}
	return list
}
