package placement

import (
	"fmt"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Row is the result of one scenario with one policy.
type Row struct {
	Scenario string  `json:"scenario"`
	Centres  int     `json:"dataCentres"`
	Daemons  int     `json:"daemons"`
	Targets  int     `json:"targets"`
	Policy   string  `json:"policy"`
	Calls    int     `json:"calls"`
	InTime   float64 `json:"inTime"`
	// AfterChange is the fraction in time of the calls that arrived later than 3 s after the change, -1 without a change.
	AfterChange float64 `json:"afterChange"`
	Refused     float64 `json:"refused"`
	P50         float64 `json:"p50Seconds"`
	P99         float64 `json:"p99Seconds"`
	// Busiest is the load of the busiest target by its capacity, relative to the mean.
	Busiest float64 `json:"busiest"`
	// Crossed is the fraction of calls that were served in another data centre.
	Crossed float64 `json:"crossed"`
}

func (r *run) row() Row {
	t := &r.result
	slices.Sort(t.latencies)
	row := Row{
		Scenario: r.scenario.name, Centres: len(r.versions), Daemons: len(r.daemons), Targets: len(r.targets), Policy: r.policy.name, Calls: t.arrived,
		InTime: ratio(t.inTime, t.arrived), AfterChange: -1, Refused: ratio(t.refused, t.arrived), Crossed: ratio(t.crossed, t.arrived),
		P50: stat.Quantile(0.5, stat.Empirical, t.latencies, nil), P99: stat.Quantile(0.99, stat.Empirical, t.latencies, nil),
		Busiest: r.busiest(),
	}
	if t.lateArrived > 0 {
		row.AfterChange = ratio(t.lateInTime, t.lateArrived)
	}
	return row
}

func (r *run) busiest() float64 {
	most, used, capacity := 0.0, 0.0, 0.0
	for i, t := range r.targets {
		own := r.weight(i, 0, false)
		if r.scenario.changes {
			own = (own + r.weight(i, r.length, true)) / 2
		}
		most = max(most, t.used.Seconds()/own)
		used, capacity = used+t.used.Seconds(), capacity+own
	}
	return most / (used / capacity)
}

func ratio(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

// Markdown formats rows as a table.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| scenario | data centres | daemons | targets | policy | calls | in time % | from 3 s after the change % | refused % | p50 ms | p99 ms | " +
		"busiest/mean | other data centre % |\n| --- | ---:| ---:| ---:| --- | ---:| ---:| ---:| ---:| ---:| ---:| ---:| ---:|\n")
	for _, r := range rows {
		after := "-"
		if r.AfterChange >= 0 {
			after = fmt.Sprintf("%.1f", 100*r.AfterChange)
		}
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %s | %d | %.1f | %s | %.1f | %.0f | %.0f | %.2f | %.0f |\n", r.Scenario, r.Centres, r.Daemons, r.Targets,
			r.Policy, r.Calls, 100*r.InTime, after, 100*r.Refused, 1000*r.P50, 1000*r.P99, r.Busiest, 100*r.Crossed)
	}
	return b.String()
}
