package moves

import (
	"fmt"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// load is the demand of each service as measured, by data centre, in slots (calls in flight).
type load map[loadKey]float64

type loadKey struct {
	service    model.ServiceName
	dataCentre model.DataCentre
}

// loadMemory is the weight of the past in the smoothed demand; a half-life of about seven rounds.
const loadMemory = 0.9

// add takes the demand of one window: calls in flight are the latencies of all calls, summed, over the window's length.
func (l load) add(e model.Evidence) {
	window := e.To.Sub(e.From)
	if window <= 0 {
		return
	}
	demand := map[model.ServiceName]float64{}
	for i := range e.Sums {
		s := &e.Sums[i]
		inFlight := 0.0
		for b, calls := range s.Latency {
			inFlight += float64(calls) * float64(model.LatencyBound(b))
		}
		demand[s.Service] += inFlight / float64(window)
	}
	for service, slots := range demand {
		key := loadKey{service, e.DataCentre}
		before, ok := l[key]
		if !ok {
			before = slots
		}
		l[key] = loadMemory*before + (1-loadMemory)*slots
	}
}

// slots returns the demand of a service in all data centres.
func (l load) slots(service model.ServiceName) float64 {
	var sum float64
	for key, slots := range l {
		if key.service == service {
			sum += slots
		}
	}
	return sum
}

// capacity returns why the targets cannot carry the next share, or cannot take the traffic back, or "".
func (d *Driver) capacity(in Inputs, m *model.Move, share model.Share) string {
	demand := d.load.slots(m.Service)
	fresh := readySlots(in.Targets, m.Service, m.To)
	old := readySlots(in.Targets, m.Service, m.From)
	need := demand * float64(share) / float64(model.FullShare) / d.policy.SlotUse
	switch {
	case fresh == 0:
		return fmt.Sprintf("no target of %s is ready", m.To)
	case float64(fresh) < need:
		return fmt.Sprintf("%s has %d slots ready, %s of the calls needs %.0f", m.To, fresh, share, need)
	case old == 0 || float64(old) < demand/d.policy.SlotUse:
		return fmt.Sprintf("%s has %d slots ready and could not take all calls back", m.From, old)
	}
	for i := range in.Targets {
		t := &in.Targets[i]
		if t.Service == m.Service && t.Version == m.From && t.State == model.TargetDraining {
			return fmt.Sprintf("target %s of %s leaves before the move is done", t.Daemon, m.From)
		}
		if t.Service == m.Service && t.Version == m.To && t.State == model.TargetStarting {
			return fmt.Sprintf("target %s of %s is not warm, since %s", t.Daemon, m.To, t.Since.UTC().Format(time.TimeOnly))
		}
	}
	return ""
}

func readySlots(targets []model.Target, service model.ServiceName, version model.VersionName) int {
	slots := 0
	for i := range targets {
		t := &targets[i]
		if t.Service == service && t.Version == version && t.State == model.TargetReady {
			slots += t.Slots
		}
	}
	return slots
}
