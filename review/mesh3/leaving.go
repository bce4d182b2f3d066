package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// Times since the store has gone silent.
const (
	leaveAt    = 500 * time.Millisecond
	killAt     = 2 * time.Second
	returnAt   = 4 * time.Second
	lateBeatAt = 4500 * time.Millisecond
	exitAt     = 11 * time.Second
)

const leavingInterval = 50 * time.Millisecond

// playLeaving makes an upstream deregister while the store is silent. Once that is acknowledged, all daemons are killed and restarted. A
// heartbeat that the upstream had sent before arrives late.
func playLeaving(m *mesh, trouble bool) (string, error) {
	routes := []route{{"r-lookup", "/lookup/", "idempotent", "lookups", 3 * time.Second}}
	if err := m.writeConfiguration(7, routes, []string{"lookups"}); err != nil {
		return "", err
	}
	for range 3 {
		a, err := m.addMachine("lookups")
		if err != nil {
			return "", err
		}
		a.upstream.serve = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			work(r, 100*time.Millisecond)
			_, _ = w.Write([]byte("answer"))
		}
	}
	left := m.machines[2]
	for _, a := range m.machines {
		a.seeds = []string{m.seed(0), m.seed(1)}
	}
	if err := m.startAll(); err != nil {
		return "", err
	}
	begun := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.sendLookups(ctx, m.machines[0])
	if trouble {
		m.setStoreSilent(true)
	}
	at(leaveAt)
	// The heartbeat is sent now and arrives at lateBeatAt.
	left.upstream.stopBeats()
	late := left.upstream.nextBeat()
	if !left.upstream.deregister() {
		m.record.printf("%s: the daemon has not acknowledged the deregistration, so nothing binds it", left.name)
		return "", nil
	}
	acknowledged := time.Now()
	m.record.printf("%s: the daemon has acknowledged that the upstream is gone", left.name)
	inTouch := begun
	if trouble {
		at(killAt)
		if err := m.killAndRestartAll(); err != nil {
			return "", err
		}
		at(returnAt)
		m.setStoreSilent(false)
		inTouch = begun.Add(returnAt + contactTime)
	}
	at(lateBeatAt)
	m.record.printf("%s: the late heartbeat arrives, acknowledged: %t", left.name, left.upstream.report(ctx, http.MethodPut, late))
	at(exitAt)
	cancel()
	reached := 0
	for _, arrived := range left.upstream.arrived() {
		if arrived.at.After(acknowledged.Add(drainTime)) && arrived.at.After(inTouch) {
			reached++
		}
	}
	m.record.printf("%d requests reached the upstream later than %s after the acknowledgement, from machines in touch", reached, drainTime)
	if reached > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached an upstream later than %s after its leaving was acknowledged", reached, drainTime), nil
	}
	return "", nil
}

// seed returns the control address of a machine as the settings of others name it.
func (m *mesh) seed(i int) string {
	return fmt.Sprintf("%s:%d", m.machines[i].ip, portControl)
}

// deregister sends a deregistration, without any report that the upstream drains, and reports whether it was acknowledged. The upstream
// goes on serving.
func (u *upstream) deregister() bool {
	u.mu.Lock()
	u.leaving = true
	u.seq++
	u.mu.Unlock()
	for range 3 {
		if u.report(context.Background(), http.MethodDelete, "") {
			return true
		}
	}
	return false
}

// sendLookups sends requests from a client on a machine, one after another, until ctx ends.
func (m *mesh) sendLookups(ctx context.Context, a *machine) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("l-%03d", i)
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/lookup/1", a.ip, portOutbound), nil)
		if err != nil {
			return
		}
		r.Host = host
		r.Header.Set(headerRequestID, id)
		r.Header.Set(headerDeadline, "3000")
		go func() {
			response, err := client.Do(r)
			if err != nil {
				m.record.printf("client gets no answer for %s: %v", id, short(err))
				return
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				m.record.printf("client gets status %d for %s", response.StatusCode, id)
			}
		}()
		time.Sleep(leavingInterval)
	}
}
