package moves

import (
	"fmt"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// serviceDemand is the measured demand of each service by data centre, in slots (calls in flight).
type serviceDemand map[demandKey]float64

type demandKey struct {
	service    model.ServiceName
	dataCentre model.DataCentre
}

// demandDecay is the weight of earlier rounds in the moving average of the demand; the half-life is about seven rounds.
const demandDecay = 0.9

// add records the demand of one window. By Little's law, the mean number of calls in flight is the sum of all latencies
// divided by the length of the window.
func (d serviceDemand) add(e model.Evidence) {
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
		key := demandKey{service, e.DataCentre}
		previous, ok := d[key]
		if !ok {
			previous = slots
		}
		d[key] = demandDecay*previous + (1-demandDecay)*slots
	}
}

// slots returns the demand of a service summed over all data centres.
func (d serviceDemand) slots(service model.ServiceName) float64 {
	var sum float64
	for key, slots := range d {
		if key.service == service {
			sum += slots
		}
	}
	return sum
}

// capacityShortage returns why the targets of the new version cannot serve the given share, or why those of the old
// version could not take all traffic back, or "".
func (d *Driver) capacityShortage(in Inputs, m *model.Move, share model.Share) string {
	demand := d.demand.slots(m.Service)
	newSlots := countReadySlots(in.Targets, m.Service, m.To)
	oldSlots := countReadySlots(in.Targets, m.Service, m.From)
	need := demand * float64(share) / float64(model.FullShare) / d.policy.MaxSlotUtilization
	switch {
	case newSlots == 0:
		return fmt.Sprintf("no target of %s is ready", m.To)
	case float64(newSlots) < need:
		return fmt.Sprintf("%s has %d slots ready, %s of the calls needs %.0f", m.To, newSlots, share, need)
	case oldSlots == 0 || float64(oldSlots) < demand/d.policy.MaxSlotUtilization:
		return fmt.Sprintf("%s has %d slots ready and could not take all calls back", m.From, oldSlots)
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

func countReadySlots(targets []model.Target, service model.ServiceName, version model.VersionName) int {
	slots := 0
	for i := range targets {
		t := &targets[i]
		if t.Service == service && t.Version == version && t.State == model.TargetReady {
			slots += t.Slots
		}
	}
	return slots
}
