package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/testseed"
)

// contactHistory plays random faults of single daemons and of the platform while the configuration changes. It checks that
// every daemon in contact with the platform has each change in force within applyBound.
type contactHistory struct {
	*simulation
	random *rand.Rand
	// written holds the time at which each configuration number was written; numbers start at 1.
	written []time.Time
	// inContactSince is when each daemon was last connected to the platform after a fault; zero while a fault lasts.
	inContactSince map[*node]time.Time
	violations     []string
}

// faults begin a fault of one daemon. Those that last end with endFault.
var faults = []func(h *contactHistory, n *node) (lasts bool){
	func(_ *contactHistory, n *node) bool { n.stopped = true; return true },
	func(_ *contactHistory, n *node) bool { n.platformUnreachable = true; return true },
	func(_ *contactHistory, n *node) bool {
		n.platformUnreachable, n.peersUnreachable = true, true
		return true
	},
	func(_ *contactHistory, n *node) bool { n.watchesSilent = true; return false },
	func(h *contactHistory, n *node) bool { h.silenceConnections(n); return false },
	func(h *contactHistory, n *node) bool { h.restart(n); return false },
}

// restart starts the process of a daemon again.
func (h *contactHistory) restart(n *node) {
	delete(h.inContactSince, n)
	name := n.address[:3]
	h.inContactSince[h.start(name, []string{"d00:1", "d01:1"})] = h.now
}

// endFault ends the fault of a daemon.
func (h *contactHistory) endFault(n *node) {
	n.stopped, n.platformUnreachable, n.peersUnreachable = false, false, false
	h.inContactSince[n] = h.now
}

// play plays the history for a time.
func (h *contactHistory) play(length time.Duration) {
	ends := map[*node]time.Time{}
	nextFault, nextChange := h.now, h.now
	for end := h.now.Add(length); h.now.Before(end); h.run(20 * time.Millisecond) {
		for n, at := range ends {
			if !h.now.Before(at) {
				delete(ends, n)
				h.endFault(n)
			}
		}
		if !h.now.Before(nextFault) {
			nextFault = h.now.Add(time.Duration(h.random.IntN(2000)) * time.Millisecond)
			fault := faults[h.random.IntN(len(faults))]
			for range 1 + h.random.IntN(len(h.nodes)) {
				h.begin(fault, h.nodes[h.random.IntN(len(h.nodes))], ends)
			}
		}
		if !h.now.Before(nextChange) {
			nextChange = h.now.Add(time.Duration(h.random.IntN(3000)) * time.Millisecond)
			h.change()
		}
		h.check()
	}
}

// begin begins a fault of a daemon, unless it has one.
func (h *contactHistory) begin(fault func(*contactHistory, *node) bool, n *node, ends map[*node]time.Time) {
	if _, faulty := ends[n]; faulty {
		return
	}
	h.inContactSince[n] = h.now
	if fault(h, n) {
		h.inContactSince[n] = time.Time{}
		ends[n] = h.now.Add(time.Duration(500+h.random.IntN(8000)) * time.Millisecond)
	}
}

func (h *contactHistory) change() {
	h.written = append(h.written, h.now)
	number := model.Number(len(h.written))
	h.configure(number, "/a/", fmt.Sprintf("/r%d/", number))
}

// check records each daemon in contact that lacks a change written applyBound ago.
func (h *contactHistory) check() {
	required := model.Number(0)
	for i, at := range h.written {
		if h.now.Sub(at) > applyBound {
			required = model.Number(i + 1)
		}
	}
	for _, n := range h.nodes {
		since := h.inContactSince[n]
		if since.IsZero() || h.now.Sub(since) <= contactBound {
			continue
		}
		if got := n.view.Configuration.Number; got < required {
			h.violations = append(h.violations, fmt.Sprintf("%s: %s has configuration %d, %d was written %s ago, in contact for %s",
				h.now.Format("05.00"), n.address, got, required, h.now.Sub(h.written[required-1]), h.now.Sub(since)))
		}
	}
}

// Guards against every combination of lost, restarted, frozen and disconnected daemons that leaves a daemon in contact with
// the platform without a change.
func TestChangesAreInForceOnDaemonsInContact(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, testseed.Seed()))
		h := &contactHistory{
			simulation: newSimulation(t, []int{2, 5, 13}[seed%3]), random: random, inContactSince: map[*node]time.Time{},
		}
		h.change()
		for i, n := range h.nodes {
			h.startTarget(i, "v1")
			h.inContactSince[n] = h.now
		}
		h.run(6 * time.Second)
		h.play(40 * time.Second)
		for i, violation := range h.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
	}
}
