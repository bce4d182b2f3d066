package main

import (
	"fmt"
	"sync"
	"time"
)

// runAddedRoute: the operator adds a route for short requests to a service that has run longer ones until then. The upstreams are less
// than half used all the time.
func runAddedRoute(w *world, trouble bool) (broken []string, err error) {
	const (
		longWork, longTimeout   = 1200 * time.Millisecond, 5 * time.Second
		shortWork, shortTimeout = 30 * time.Millisecond, 400 * time.Millisecond
		slots                   = 12
		longInterval            = 400 * time.Millisecond // a machine
		shortInterval           = 100 * time.Millisecond // a machine
		// applyTime is config_apply_ms. The rule compares the routes from leastRequests on, in steady state.
		applyTime     = 2 * time.Second
		steady        = 30 * time.Second
		leastRequests = 20
		leastPart     = 0.25
	)
	for _, service := range []string{"desk", "desk", "log", "log"} {
		w.addMachine(service)
	}
	first := []route{{"r-list", "/list/", "desk", "idempotent", int(longTimeout / time.Millisecond), 2500}}
	added := route{"r-check", "/check/", "desk", "idempotent", int(shortTimeout / time.Millisecond), 150}
	if !trouble {
		first = append(first, added)
	}
	services := []string{"desk", "log"}
	w.configure(1, services, first)
	for i, m := range w.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
		u, err := startUpstream(m, fmt.Sprintf("i-%d", i+1), slots, shortWork)
		if err != nil {
			return nil, err
		}
		u.workByPath = map[string]time.Duration{"/list/a": longWork}
		u.beat()
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the daemons learn of all upstreams
	var mu sync.Mutex
	var counting bool
	sent, served, answers := map[string]int{}, map[string]int{}, map[int]int{}
	callers := w.machines[2:]
	request := func(m *machine, path string, deadline time.Duration) {
		mu.Lock()
		counted := counting
		mu.Unlock()
		_, status := send(m, "GET", path, "", deadline)
		mu.Lock()
		defer mu.Unlock()
		if !counted {
			return
		}
		sent[path]++
		if status == 200 {
			served[path]++
		}
		if path == "/check/a" {
			answers[status]++
		}
	}
	var loads []*load
	startShort := func() {
		for _, m := range callers {
			loads = append(loads, repeat(shortInterval, func() { request(m, "/check/a", shortTimeout) }))
		}
	}
	if !trouble {
		startShort()
		time.Sleep(time.Second)
	}
	for _, m := range callers {
		loads = append(loads, repeat(longInterval, func() { request(m, "/list/a", longTimeout) }))
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.configure(2, services, append(first, added))
		time.Sleep(applyTime)
		startShort()
	}
	time.Sleep(time.Second)
	mu.Lock()
	counting = true
	mu.Unlock()
	time.Sleep(steady)
	for _, l := range loads {
		l.end()
	}
	mu.Lock()
	defer mu.Unlock()
	part := func(path string) float64 { return float64(served[path]) / float64(max(sent[path], 1)) }
	text := fmt.Sprintf("/check/: %d of %d served, /list/: %d of %d served; answers of /check/ by status: %v",
		served["/check/a"], sent["/check/a"], served["/list/a"], sent["/list/a"], answers)
	w.log("%s", text)
	fmt.Println(text)
	if sent["/check/a"] >= leastRequests && part("/check/a") < leastPart*part("/list/a") {
		broken = append(broken, "CONFIG: requests on the added route are served less than a quarter as often as those on the first: "+text)
	}
	return broken, nil
}
