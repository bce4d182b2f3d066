// Package fleet runs real agents in one process over in-memory links and a virtual clock. Tests and the distribution
// experiment use it to put load and faults on the project's own messages.
package fleet

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// SendTimeout is how long a daemon waits for the reply of a peer that stays silent.
const SendTimeout = time.Second

// Start is the virtual time at which a fleet starts.
var Start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Fleet is a set of daemons with their links and store. It is not safe for concurrent use.
type Fleet struct {
	Now   time.Time
	Rand  *rand.Rand
	Store *Store
	Nodes []*Node
	// Delay returns the one-way delay of a message.
	Delay func(from, to *Node) time.Duration
	// Fault decides the fate of a message or reply; nil delivers everything.
	Fault func(from, to *Node) Fate
	// Carry encodes and decodes each request and reply that is put on a link; nil hands over the value itself.
	Carry func(from, to *Node, request bool, body any) any
	// Effect sees each effect of a daemon.
	Effect func(n *Node, e effect.Effect)
	// Extend adds to a daemon's agent before its first event; nil adds nothing.
	Extend func(a *agent.Agent)
	// Handling runs the handler of an event; the experiment measures its time there.
	Handling func(n *Node, run func())

	byAddress map[string]*Node
	queue     queue
	order     uint64
}

// Fate is what a link does with a message.
type Fate struct {
	// Lost messages are not delivered; the sender waits for SendTimeout.
	Lost bool
	// Twice delivers a request a second time.
	Twice bool
	// Extra delays the message beyond the delay of the link, so that messages cross.
	Extra time.Duration
}

// Node is one daemon.
type Node struct {
	Target model.Target
	Seeds  []string
	Agent  *agent.Agent
	View   *model.View
	Alive  bool
	Frozen bool
	// Index is the position of the node in its fleet.
	Index int

	fleet  *Fleet
	life   int
	wakeAt time.Time
	// idleWakes counts wakes in a row that were due at once.
	idleWakes int
	backlog   []effect.Event
	waiting   map[effect.RequestID]bool
	tokens    map[effect.Token]origin
	token     effect.Token
}

// origin is where the reply to a received request goes.
type origin struct {
	node    *Node
	life    int
	request effect.RequestID
}

// New returns an empty fleet.
func New(r *rand.Rand) *Fleet {
	f := &Fleet{Now: Start, Rand: r, byAddress: map[string]*Node{}}
	f.Store = newStore(f)
	f.Delay = func(_, _ *Node) time.Duration { return 1500 * time.Microsecond }
	return f
}

// Add adds a daemon that is not started.
func (f *Fleet) Add(t model.Target, seeds []string) *Node {
	n := &Node{Target: t, Seeds: seeds, Index: len(f.Nodes), fleet: f}
	f.Nodes = append(f.Nodes, n)
	f.byAddress[t.PeerAddress] = n
	return n
}

// Boot starts a new process of a daemon, with a higher incarnation and no state.
func (n *Node) Boot() {
	f := n.fleet
	n.life++
	n.Alive, n.Frozen, n.backlog, n.wakeAt, n.View = true, false, nil, time.Time{}, nil
	n.waiting, n.tokens = map[effect.RequestID]bool{}, map[effect.Token]origin{}
	n.Target.Incarnation = model.Incarnation(f.Now.UnixNano())
	n.Target.Since = f.Now
	n.Agent = agent.New(agent.Config{
		Target: n.Target, Seeds: n.Seeds, Codec: Codec{},
		Rand: rand.New(rand.NewPCG(f.Rand.Uint64(), f.Rand.Uint64())),
	})
	if f.Extend != nil {
		f.Extend(n.Agent)
	}
	n.handle(effect.Wake{})
}

// Move gives a daemon other addresses, as when its VM is replaced, and boots it there.
func (n *Node) Move(address, peerAddress string) {
	delete(n.fleet.byAddress, n.Target.PeerAddress)
	n.Target.Address, n.Target.PeerAddress = address, peerAddress
	n.fleet.byAddress[peerAddress] = n
	n.Boot()
}

// Life counts the processes of a daemon; a connection does not outlive the process at either end.
func (n *Node) Life() int { return n.life }

// Kill ends a daemon without notice.
func (n *Node) Kill() {
	n.Alive = false
	n.life++
	n.fleet.Store.unwatch(n)
}

// Freeze stops a daemon from running; Thaw lets it run again on what arrived meanwhile.
func (n *Node) Freeze() { n.Frozen = true }

// Thaw ends a Freeze.
func (n *Node) Thaw() {
	if !n.Frozen {
		return
	}
	n.Frozen = false
	backlog := n.backlog
	n.backlog = nil
	n.Handle(effect.Wake{})
	for _, ev := range backlog {
		n.Handle(ev)
	}
}

// Handle gives a daemon an event now.
func (n *Node) Handle(ev effect.Event) {
	switch {
	case !n.Alive:
	case n.Frozen:
		n.backlog = append(n.backlog, ev)
	default:
		n.handle(ev)
	}
}

func (n *Node) handle(ev effect.Event) {
	var effects []effect.Effect
	run := func() { effects = n.Agent.Handle(n.fleet.Now, ev) }
	if n.fleet.Handling != nil {
		n.fleet.Handling(n, run)
	} else {
		run()
	}
	for _, e := range effects {
		if n.fleet.Effect != nil {
			n.fleet.Effect(n, e)
		}
		n.perform(e)
	}
	n.planWake()
}

func (n *Node) planWake() {
	at := n.Agent.NextWake()
	if at.IsZero() || (!n.wakeAt.IsZero() && !at.Before(n.wakeAt)) {
		return
	}
	n.countIdleWakes(at)
	n.wakeAt = at
	life := n.life
	n.fleet.at(at, func() {
		if n.life != life || !n.wakeAt.Equal(at) {
			return
		}
		n.wakeAt = time.Time{}
		n.Handle(effect.Wake{})
		if n.Alive && !n.Frozen {
			n.planWake()
		}
	})
}

// maxIdleWakes is how often a daemon may ask to be woken at once without time passing.
const maxIdleWakes = 100

// countIdleWakes stops a run in which a daemon wakes itself without end, since time would never pass.
func (n *Node) countIdleWakes(at time.Time) {
	if at.After(n.fleet.Now) {
		n.idleWakes = 0
		return
	}
	if n.idleWakes++; n.idleWakes > maxIdleWakes {
		panic(errors.Errorf("daemon %s wakes itself without end at %s", n.Target.Daemon, n.fleet.Now))
	}
}

func (n *Node) perform(e effect.Effect) {
	switch e := e.(type) {
	case effect.Send:
		n.send(e)
	case effect.Reply:
		n.reply(e)
	case effect.StoreCall:
		n.fleet.Store.call(n, e)
	case effect.Watch:
		n.fleet.Store.watch(n, e.Key, e.After)
	case effect.Unwatch:
		n.fleet.Store.unwatch(n)
	case effect.Publish:
		n.View = e.View
	}
}

// later gives an event to the process that runs on a node now, after a delay.
func (n *Node) later(d time.Duration, ev effect.Event) {
	life := n.life
	n.fleet.After(d, func() {
		if n.life == life {
			n.Handle(ev)
		}
	})
}

func (f *Fleet) fate(from, to *Node) Fate {
	if f.Fault == nil {
		return Fate{}
	}
	return f.Fault(from, to)
}

func (n *Node) send(e effect.Send) {
	f := n.fleet
	to := f.byAddress[e.Address]
	n.waiting[e.Request] = true
	if to == nil || !to.Alive {
		n.finish(SendTimeout/100, e.Request, nil)
		return
	}
	n.finish(SendTimeout, e.Request, nil)
	body := e.Body
	if f.Carry != nil {
		body = f.Carry(n, to, true, body).(message.Request)
	}
	fate := f.fate(n, to)
	if fate.Lost {
		return
	}
	back := origin{node: n, life: n.life, request: e.Request}
	f.deliver(to, f.Delay(n, to)+fate.Extra, body, back)
	if fate.Twice {
		f.deliver(to, 2*f.Delay(n, to)+2*fate.Extra+time.Millisecond, body, origin{})
	}
}

func (f *Fleet) deliver(to *Node, d time.Duration, body message.Request, back origin) {
	life := to.life
	f.After(d, func() {
		if to.life != life || !to.Alive {
			return
		}
		to.token++
		to.tokens[to.token] = back
		to.Handle(effect.RequestReceived{Token: to.token, Body: body})
	})
}

func (n *Node) reply(e effect.Reply) {
	f := n.fleet
	back := n.tokens[e.Token]
	delete(n.tokens, e.Token)
	if back.node == nil || back.node.life != back.life {
		return
	}
	body := e.Body
	if f.Carry != nil {
		body = f.Carry(n, back.node, false, body).(message.Reply)
	}
	fate := f.fate(n, back.node)
	if fate.Lost {
		return
	}
	back.node.finish(f.Delay(n, back.node)+fate.Extra, back.request, body)
}

// finish ends a send after a delay unless it ended before.
func (n *Node) finish(d time.Duration, id effect.RequestID, reply message.Reply) {
	life := n.life
	n.fleet.After(d, func() {
		if n.life == life && n.waiting[id] {
			delete(n.waiting, id)
			n.Handle(effect.SendDone{Request: id, Reply: reply})
		}
	})
}

// After runs a function at a later virtual time.
func (f *Fleet) After(d time.Duration, run func()) { f.at(f.Now.Add(d), run) }

func (f *Fleet) at(t time.Time, run func()) {
	f.order++
	heap.Push(&f.queue, item{at: t, order: f.order, run: run})
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(item)
		if next.at.After(f.Now) {
			f.Now = next.at
		}
		next.run()
	}
	f.Now = end
}

type item struct {
	at    time.Time
	order uint64
	run   func()
}

// queue orders items by time, and by insertion at equal times.
type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(item)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
