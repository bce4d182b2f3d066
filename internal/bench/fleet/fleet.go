// Package fleet simulates a fleet of daemons: real agents run in one process over in-memory links and a virtual clock.
// Tests and the distribution experiment use it to exercise the agents' messages under load and faults.
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

// SendTimeout is how long a daemon waits for the reply of a peer that does not answer.
const SendTimeout = time.Second

// Start is the initial virtual time of every fleet.
var Start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Fleet is a set of simulated daemons with the links between them and the store. It is not safe for concurrent use.
type Fleet struct {
	Now   time.Time
	Rand  *rand.Rand
	Store *Store
	Nodes []*Node
	// Delay returns the one-way delay of a message on a link.
	Delay func(from, to *Node) time.Duration
	// Fault returns the fault that a request or reply meets on a link; nil delivers everything unchanged.
	Fault func(from, to *Node) LinkFault
	// Transcode encodes and decodes the body of each request and reply that is put on a link; nil passes the value itself.
	Transcode func(from, to *Node, request bool, body any) any
	// OnEffect is called with each effect that a daemon's agent returns, before the effect is performed.
	OnEffect func(n *Node, e effect.Effect)
	// Extend may register extensions with a daemon's agent before its first event; nil registers none.
	Extend func(a *agent.Agent)
	// WrapHandler must call run, which handles one event; the distribution experiment measures the time of run there.
	WrapHandler func(n *Node, run func())

	byAddress map[string]*Node
	events    eventQueue
	sequence  uint64
}

// LinkFault describes how a link treats one message. The zero value delivers it normally.
type LinkFault struct {
	// Lost drops the message; the sender waits for SendTimeout.
	Lost bool
	// Duplicated delivers a request a second time.
	Duplicated bool
	// ExtraDelay is added to the delay of the link, so that messages can overtake each other.
	ExtraDelay time.Duration
}

// Node is one simulated daemon.
type Node struct {
	Target model.Target
	Seeds  []string
	Agent  *agent.Agent
	View   *model.View
	Alive  bool
	Frozen bool
	// Index is the position of the node in Fleet.Nodes.
	Index int

	fleet      *Fleet
	generation int
	wakeAt     time.Time
	// immediateWakes counts consecutive wakes that were due without virtual time passing.
	immediateWakes    int
	backlog           []effect.Event
	pendingSends      map[effect.RequestID]bool
	replyDestinations map[effect.Token]replyDestination
	lastToken         effect.Token
}

// replyDestination says which send of which process gets the reply to a received request.
type replyDestination struct {
	node       *Node
	generation int
	request    effect.RequestID
}

// New returns an empty fleet.
func New(r *rand.Rand) *Fleet {
	f := &Fleet{Now: Start, Rand: r, byAddress: map[string]*Node{}}
	f.Store = newStore(f)
	f.Delay = func(_, _ *Node) time.Duration { return 1500 * time.Microsecond }
	return f
}

// Add adds a daemon without starting it.
func (f *Fleet) Add(t model.Target, seeds []string) *Node {
	n := &Node{Target: t, Seeds: seeds, Index: len(f.Nodes), fleet: f}
	f.Nodes = append(f.Nodes, n)
	f.byAddress[t.PeerAddress] = n
	return n
}

// Boot starts a new process of the daemon, with a higher incarnation and no state.
func (n *Node) Boot() {
	f := n.fleet
	n.generation++
	n.Alive, n.Frozen, n.backlog, n.wakeAt, n.View = true, false, nil, time.Time{}, nil
	n.pendingSends, n.replyDestinations = map[effect.RequestID]bool{}, map[effect.Token]replyDestination{}
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

// Relocate changes the addresses of the daemon, as a replacement of its VM does, and boots it there.
func (n *Node) Relocate(address, peerAddress string) {
	delete(n.fleet.byAddress, n.Target.PeerAddress)
	n.Target.Address, n.Target.PeerAddress = address, peerAddress
	n.fleet.byAddress[peerAddress] = n
	n.Boot()
}

// Generation is incremented when the daemon boots and when it is killed. A connection does not outlive the process at
// either end.
func (n *Node) Generation() int { return n.generation }

// Kill ends the process of the daemon abruptly, without a drain.
func (n *Node) Kill() {
	n.Alive = false
	n.generation++
	n.fleet.Store.unwatch(n)
}

// Freeze pauses the daemon: events that arrive are queued until Thaw.
func (n *Node) Freeze() { n.Frozen = true }

// Thaw ends a Freeze: the daemon wakes, then handles the queued events in order.
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

// Handle passes an event to the daemon at the present virtual time.
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
	if n.fleet.WrapHandler != nil {
		n.fleet.WrapHandler(n, run)
	} else {
		run()
	}
	for _, e := range effects {
		if n.fleet.OnEffect != nil {
			n.fleet.OnEffect(n, e)
		}
		n.perform(e)
	}
	n.scheduleWake()
}

func (n *Node) scheduleWake() {
	at := n.Agent.NextWake()
	if at.IsZero() || (!n.wakeAt.IsZero() && !at.Before(n.wakeAt)) {
		return
	}
	n.limitImmediateWakes(at)
	n.wakeAt = at
	generation := n.generation
	n.fleet.schedule(at, func() {
		if n.generation != generation || !n.wakeAt.Equal(at) {
			return
		}
		n.wakeAt = time.Time{}
		n.Handle(effect.Wake{})
		if n.Alive && !n.Frozen {
			n.scheduleWake()
		}
	})
}

// maxImmediateWakes is how many consecutive times a daemon may ask to be woken at once without virtual time passing.
const maxImmediateWakes = 100

// limitImmediateWakes panics if a daemon wakes itself endlessly at the same virtual time: the run would never end.
func (n *Node) limitImmediateWakes(at time.Time) {
	if at.After(n.fleet.Now) {
		n.immediateWakes = 0
		return
	}
	if n.immediateWakes++; n.immediateWakes > maxImmediateWakes {
		panic(errors.Errorf("daemon %s wakes itself endlessly at %s", n.Target.Daemon, n.fleet.Now))
	}
}

func (n *Node) perform(e effect.Effect) {
	switch e := e.(type) {
	case effect.Send:
		n.sendRequest(e)
	case effect.Reply:
		n.sendReply(e)
	case effect.StoreCall:
		n.fleet.Store.handleCall(n, e)
	case effect.Watch:
		n.fleet.Store.watch(n, e.Key, e.After)
	case effect.Unwatch:
		n.fleet.Store.unwatch(n)
	case effect.Publish:
		n.View = e.View
	}
}

// handleAfter passes an event to the daemon after a delay, unless its present process has ended by then.
func (n *Node) handleAfter(d time.Duration, ev effect.Event) {
	generation := n.generation
	n.fleet.After(d, func() {
		if n.generation == generation {
			n.Handle(ev)
		}
	})
}

func (f *Fleet) linkFault(from, to *Node) LinkFault {
	if f.Fault == nil {
		return LinkFault{}
	}
	return f.Fault(from, to)
}

func (n *Node) sendRequest(e effect.Send) {
	f := n.fleet
	to := f.byAddress[e.Address]
	n.pendingSends[e.Request] = true
	if to == nil || !to.Alive {
		n.completeSend(SendTimeout/100, e.Request, nil)
		return
	}
	n.completeSend(SendTimeout, e.Request, nil)
	body := e.Body
	if f.Transcode != nil {
		body = f.Transcode(n, to, true, body).(message.Request)
	}
	fault := f.linkFault(n, to)
	if fault.Lost {
		return
	}
	destination := replyDestination{node: n, generation: n.generation, request: e.Request}
	f.deliver(to, f.Delay(n, to)+fault.ExtraDelay, body, destination)
	if fault.Duplicated {
		f.deliver(to, 2*f.Delay(n, to)+2*fault.ExtraDelay+time.Millisecond, body, replyDestination{})
	}
}

func (f *Fleet) deliver(to *Node, d time.Duration, body message.Request, destination replyDestination) {
	generation := to.generation
	f.After(d, func() {
		if to.generation != generation || !to.Alive {
			return
		}
		to.lastToken++
		to.replyDestinations[to.lastToken] = destination
		to.Handle(effect.RequestReceived{Token: to.lastToken, Body: body})
	})
}

func (n *Node) sendReply(e effect.Reply) {
	f := n.fleet
	destination := n.replyDestinations[e.Token]
	delete(n.replyDestinations, e.Token)
	if destination.node == nil || destination.node.generation != destination.generation {
		return
	}
	body := e.Body
	if f.Transcode != nil {
		body = f.Transcode(n, destination.node, false, body).(message.Reply)
	}
	fault := f.linkFault(n, destination.node)
	if fault.Lost {
		return
	}
	destination.node.completeSend(f.Delay(n, destination.node)+fault.ExtraDelay, destination.request, body)
}

// completeSend ends a send after a delay, unless it ended before. A nil reply means that the peer did not answer.
func (n *Node) completeSend(d time.Duration, id effect.RequestID, reply message.Reply) {
	generation := n.generation
	n.fleet.After(d, func() {
		if n.generation == generation && n.pendingSends[id] {
			delete(n.pendingSends, id)
			n.Handle(effect.SendDone{Request: id, Reply: reply})
		}
	})
}

// After schedules a function at a later virtual time.
func (f *Fleet) After(d time.Duration, run func()) { f.schedule(f.Now.Add(d), run) }

func (f *Fleet) schedule(t time.Time, run func()) {
	f.sequence++
	heap.Push(&f.events, scheduledEvent{at: t, sequence: f.sequence, run: run})
}

// Run advances the virtual time by d and runs what is scheduled until then.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		next := heap.Pop(&f.events).(scheduledEvent)
		if next.at.After(f.Now) {
			f.Now = next.at
		}
		next.run()
	}
	f.Now = end
}

type scheduledEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue orders events by time, and events at the same time by insertion.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
