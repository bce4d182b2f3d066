package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// runForeignEntry: another writer adds one entry among those of the upstreams, a copy of a real one with another name and
// version, in which the start time is missing.
func runForeignEntry(w *world, trouble bool) (broken []string, err error) {
	const (
		slots    = 9
		work     = 20 * time.Millisecond
		interval = 50 * time.Millisecond
		before   = 4 * time.Second
		// recoverTime is recover_s; leastPart is the part of the requests that must be served after it.
		recoverTime = 15 * time.Second
		measured    = 15 * time.Second
		leastPart   = 0.25
	)
	for _, service := range []string{"desk", "desk", "log", "log"} {
		w.addMachine(service)
	}
	w.configure(1, []string{"desk", "log"}, []route{
		{"r-desk", "/desk/", "desk", "idempotent", 1000, 400}, {"r-log", "/log/", "log", "idempotent", 1000, 400},
	})
	for i, m := range w.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
		u, err := startUpstream(m, fmt.Sprintf("i-%d", i+1), slots, work)
		if err != nil {
			return nil, err
		}
		u.beat()
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the daemons learn of all upstreams
	t := &tally{}
	l := repeat(interval, func() { t.add(send(w.machines[2], "GET", "/desk/a", "", time.Second)) })
	time.Sleep(before)
	first := t.reset()
	if trouble {
		entry := map[string]any{}
		if err := json.Unmarshal([]byte(w.store.Get(store.PrefixTargets+w.machines[0].name)), &entry); err != nil {
			return nil, err
		}
		entry["daemon"], entry["version"] = "other-1", "v0"
		delete(entry, "born")
		value, err := json.Marshal(entry)
		if err != nil {
			return nil, err
		}
		revision := w.store.Put(store.PrefixTargets+"other-1", string(value))
		w.log("another writer: entry other-1 at revision %d: %s", revision, value)
	}
	time.Sleep(recoverTime)
	t.reset()
	time.Sleep(measured)
	last := t.reset()
	l.end()
	text := fmt.Sprintf("%d of %d requests served before, %d of %d served later than %s after the entry",
		first.served, first.sent, last.served, last.sent, recoverTime)
	w.log("%s", text)
	fmt.Println(text)
	if float64(last.served) < leastPart*float64(last.sent) && float64(first.served) >= leastPart*float64(first.sent) {
		broken = append(broken, "RECOVER: "+text)
	}
	return broken, nil
}

// tally counts answers.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(_ string, status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if status == 200 {
		t.served++
	}
}

// counts are the answers between two calls of reset.
type counts struct{ sent, served int }

func (t *tally) reset() counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := counts{t.sent, t.served}
	t.sent, t.served = 0, 0
	return c
}
