package moves

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"

	"sniperail.example/sniperail/internal/model"
)

// Report is the result of Run.
type Report struct {
	Customer string          `json:"customer"`
	Seed     uint64          `json:"seed"`
	Runs     int             `json:"runs"`
	Policies []PolicySummary `json:"policies"`
}

// PolicySummary holds the figures of one policy: over all good versions, over all bad versions, and by kind.
type PolicySummary struct {
	Policy string    `json:"policy"`
	Kinds  []Summary `json:"kinds"`
}

// Summary holds the figures of the runs with one kind of version. Percentages are from 0 to 100.
type Summary struct {
	Kind string `json:"kind"`
	Runs int    `json:"runs"`
	// OnTime is the percentage of moves that were done by the requested time, Withdrawn the percentage withdrawn.
	OnTime    Estimate `json:"onTimePercent"`
	Withdrawn Estimate `json:"withdrawnPercent"`
	// Exposure is the percentage of the service's calls, until the withdrawal or the end, that the new version received
	// while it was bad.
	Exposure    Estimate `json:"exposurePercent"`
	ExposureP99 Estimate `json:"exposureP99Percent"`
	// Seconds is the time from the first to the last call that the new version received while it was bad.
	Seconds    Estimate `json:"seconds"`
	SecondsP99 Estimate `json:"secondsP99"`
	// CallsNeeded is the number of calls that the new version received, while it was bad, until the policy first decided
	// to withhold the version or to withdraw the move.
	CallsNeeded Estimate `json:"callsNeeded"`
	// AfterProof is the longest time in seconds from that decision to the last call of the new version.
	AfterProof float64 `json:"afterProofMaxSeconds"`
}

// Estimate is a figure with its 95% confidence interval.
type Estimate struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

func (e Estimate) String() string {
	if math.IsNaN(e.Value) {
		return "-"
	}
	return fmt.Sprintf("%.2f [%.2f, %.2f]", e.Value, e.Low, e.High)
}

// MarshalJSON returns null for a figure without runs, which is NaN: JSON has no NaN.
func (e Estimate) MarshalJSON() ([]byte, error) {
	if math.IsNaN(e.Value) {
		return []byte("null"), nil
	}
	type plain Estimate
	return json.Marshal(plain(e))
}

// z95 is the two-sided 95% quantile of the normal distribution.
const z95 = 1.959964

// percentage returns a proportion in percent with its Wilson score interval.
func percentage(hits, n int) Estimate {
	if n == 0 {
		return Estimate{Value: math.NaN()}
	}
	p, m := float64(hits)/float64(n), float64(n)
	centre := (p + z95*z95/(2*m)) / (1 + z95*z95/m)
	half := z95 / (1 + z95*z95/m) * math.Sqrt(p*(1-p)/m+z95*z95/(4*m*m))
	return Estimate{Value: 100 * p, Low: 100 * max(centre-half, 0), High: 100 * min(centre+half, 1)}
}

// mean returns a mean with the interval of the normal approximation.
func mean(values []float64) Estimate {
	if len(values) == 0 {
		return Estimate{Value: math.NaN()}
	}
	m, s := stat.MeanStdDev(values, nil)
	if len(values) == 1 {
		s = 0
	}
	half := z95 * s / math.Sqrt(float64(len(values)))
	return Estimate{Value: m, Low: m - half, High: m + half}
}

// p99 returns the 99th percentile; the bounds of its 95% interval are order statistics.
func p99(values []float64) Estimate {
	if len(values) == 0 {
		return Estimate{Value: math.NaN()}
	}
	sorted := slices.Sorted(slices.Values(values))
	n := float64(len(sorted))
	rank := func(r float64) float64 { return sorted[int(min(max(math.Ceil(r)-1, 0), n-1))] }
	half := z95 * math.Sqrt(n*0.99*0.01)
	return Estimate{Value: rank(0.99 * n), Low: rank(0.99*n - half), High: rank(0.99*n + half)}
}

// Names of the summaries over several kinds.
const (
	AllGood = "all good"
	AllBad  = "all bad"
)

func summarize(name string, results []result) PolicySummary {
	groups := map[string][]result{}
	for _, r := range results {
		all := AllGood
		if r.bad {
			all = AllBad
		}
		groups[r.kind] = append(groups[r.kind], r)
		groups[all] = append(groups[all], r)
	}
	p := PolicySummary{Policy: name}
	for _, kind := range append([]string{AllGood, AllBad}, kinds[:]...) {
		if len(groups[kind]) > 0 {
			p.Kinds = append(p.Kinds, summarizeKind(kind, groups[kind]))
		}
	}
	return p
}

func summarizeKind(kind string, results []result) Summary {
	s := Summary{Kind: kind, Runs: len(results)}
	var exposure, duration, callsNeeded []float64
	onTime, withdrawn := 0, 0
	for _, r := range results {
		if r.onTime {
			onTime++
		}
		if r.finalPhase == model.PhaseWithdrawn || r.withdrawalDecided {
			withdrawn++
		}
		if !r.bad || r.calls == 0 {
			continue
		}
		exposure = append(exposure, 100*float64(r.badCalls)/float64(r.calls))
		if r.firstBadCall >= 0 {
			duration = append(duration, r.lastBadCall-r.firstBadCall)
		}
		if r.provedAt >= 0 {
			callsNeeded = append(callsNeeded, float64(r.badCallsAtProof))
			s.AfterProof = max(s.AfterProof, r.lastNewCall-r.provedAt)
		}
	}
	s.OnTime, s.Withdrawn = percentage(onTime, len(results)), percentage(withdrawn, len(results))
	s.Exposure, s.ExposureP99 = mean(exposure), p99(exposure)
	s.Seconds, s.SecondsP99 = mean(duration), p99(duration)
	s.CallsNeeded = mean(callsNeeded)
	return s
}

// Kind returns the summary with this name, or nil.
func (p *PolicySummary) Kind(name string) *Summary {
	for i := range p.Kinds {
		if p.Kinds[i].Kind == name {
			return &p.Kinds[i]
		}
	}
	return nil
}

// Markdown renders the report as tables, one per policy.
func (r Report) Markdown() string {
	out := ""
	for _, p := range r.Policies {
		t := table.NewWriter()
		t.AppendHeader(table.Row{"kind", "runs", "done on time %", "withdrawn %", "exposure mean %", "exposure p99 %",
			"bad for, mean s", "bad for, p99 s", "calls needed", "after proof, max s"})
		for _, k := range p.Kinds {
			t.AppendRow(table.Row{k.Kind, k.Runs, k.OnTime, k.Withdrawn, k.Exposure, k.ExposureP99,
				k.Seconds, k.SecondsP99, k.CallsNeeded, fmt.Sprintf("%.2f", k.AfterProof)})
		}
		out += fmt.Sprintf("### %s, %s, seed %d, %d runs\n\n%s\n\n", p.Policy, r.Customer, r.Seed, r.Runs, t.RenderMarkdown())
	}
	return out
}
