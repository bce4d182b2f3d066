package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// beatDelay is how much later than the deregistration the delayed heartbeat arrives.
	beatDelay = 2 * time.Second
	// serveAfter is how long the leaving target still serves.
	serveAfter = 12 * time.Second
)

// playLateBeat lets a target deregister, kills the daemon beside it after it has acknowledged that, and delivers a heartbeat
// that the target had sent before. Without the disruption the daemon is not killed.
func playLateBeat(w *world, trouble bool) (bool, error) {
	for _, service := range []string{"records", "records", "lookups", "lookups"} {
		if _, err := w.addNode(service); err != nil {
			return false, err
		}
	}
	w.writeConfiguration(1, []string{"records", "lookups"}, route("records", "/rec1/", "non_idempotent", "records", 2000, 600))
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	for _, n := range w.nodes[2:] {
		clients.Go(func() { w.sendSteadily(n) })
	}
	defer clients.Wait()
	defer w.cancel()
	time.Sleep(3 * time.Second)

	leaving := w.nodes[0]
	t := leaving.target
	t.mu.Lock()
	t.silent = true
	t.mu.Unlock()
	time.Sleep(reportTimeout)
	late, seq := t.nextBeat()
	w.logf("target %s sends heartbeat %d (ready), which is delayed on its way", t.instance, seq)
	time.Sleep(100 * time.Millisecond)
	t.mu.Lock()
	t.state = "leaving"
	t.mu.Unlock()
	if !t.report(http.MethodDelete, fmt.Sprintf(`{"born":%d}`, t.born)) {
		return false, fmt.Errorf("the deregistration was not acknowledged")
	}
	acked := time.Now()
	w.logf("daemon %s acknowledged the deregistration of %s", leaving.name, t.instance)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		if err := leaving.killAndRestart(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acked.Add(beatDelay)))
	w.logf("the delayed heartbeat %d arrives; acknowledged: %t", seq, t.report(http.MethodPut, late))
	time.Sleep(time.Until(acked.Add(serveAfter)))
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	w.logf("target %s exits", t.instance)
	return w.countLateRuns(leaving, acked), nil
}

// countLateRuns counts the requests that reached the leaving target later than drainTime after the acknowledgement, while all
// daemons on their way were in touch.
func (w *world) countLateRuns(leaving *node, acked time.Time) bool {
	leaving.mu.Lock()
	inTouch := leaving.starts[len(leaving.starts)-1].Add(contactTime)
	leaving.mu.Unlock()
	late, lateInTouch := 0, 0
	for _, r := range w.allRuns() {
		if r.target != leaving.name || !r.at.After(acked.Add(drainTime)) {
			continue
		}
		late++
		if r.at.After(inTouch) {
			lateInTouch++
		}
	}
	w.logf("requests at the target later than %s after the acknowledgement: %d; with its daemon in touch: %d", drainTime, late, lateInTouch)
	return lateInTouch > 0
}

// sendSteadily sends a request each 50 ms until the deployment ends.
func (w *world) sendSteadily(n *node) {
	for i := 0; w.ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%d", strings.ReplaceAll(n.name, "node", "c"), i)
		go n.call("POST", "/rec1/a", id, 2*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
}
