// Package daemons measures running sniperaild processes through their operators' API: their resident memory, processor
// time, control bytes and platform calls while idle, and the time until a confirmed change is in force on each of them.
package daemons

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	promodel "github.com/prometheus/common/model"

	"sniperail.example/sniperail/internal/client"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/platform"
	"sniperail.example/sniperail/internal/store"
)

// Options configure a measurement.
type Options struct {
	API     []string      `required:"" placeholder:"HOST:PORT" help:"Operators' API of each daemon."`
	Idle    time.Duration `default:"20s" help:"Length of the idle window."`
	Changes int           `default:"10" help:"Changes of the configuration to confirm one after the other."`
}

const (
	// pollInterval bounds the measurement error of a convergence time.
	pollInterval = 10 * time.Millisecond
	// convergenceLimit is how long a change may take to reach every daemon: docs/design.md requires 13 s.
	convergenceLimit = 13 * time.Second
	// settleTime is the time after the first configuration until heartbeats are regular again.
	settleTime = 3 * time.Second
	// maxRequestsInFlight keeps the polling from loading the machine that is measured.
	maxRequestsInFlight = 8
)

// Report is the result of a measurement.
type Report struct {
	Daemons int           `json:"daemons"`
	Idle    time.Duration `json:"idleNanoseconds"`
	// Leaders are the daemons that hold a lease; all others, including relays, are Members.
	Leaders, Members Group
	// PlatformCalls is the rate of platform calls by kind (read, write, watch), in calls/s over all daemons.
	PlatformCalls map[string]float64 `json:"platformCallsPerSecond"`
	// Convergence is the time from the response to a confirmation until a daemon had the number in force.
	Convergence Quantiles `json:"convergenceSeconds"`
	Changes     int       `json:"changes"`
	// Late counts changes that did not reach every daemon within the limit.
	Late int `json:"late"`
}

// Group holds the figures of the daemons of one role.
type Group struct {
	Count int
	// CPU is in percent of one core, Sent and Received in bytes per second, Resident in bytes.
	CPU, Sent, Received, Resident Spread
}

// Spread is a mean and a maximum.
type Spread struct{ Mean, Max float64 }

// Quantiles are times in seconds.
type Quantiles struct{ P50, P99, Max float64 }

// sample holds the values of one daemon's metrics.
type sample struct {
	cpu, resident, sent, received, number float64
	platformCalls                         map[string]float64
}

// Run measures the daemons.
func Run(ctx context.Context, o Options) (Report, error) {
	m := &measurement{options: o, http: &http.Client{Timeout: 5 * time.Second}}
	// Daemons without a configuration ask their leader for one every second, so one must be in force in the idle window.
	if err := m.measureConvergence(ctx, &Report{}, 1); err != nil {
		return Report{}, err
	}
	time.Sleep(settleTime)
	before, err := m.sampleAll(ctx)
	if err != nil {
		return Report{}, err
	}
	select {
	case <-time.After(o.Idle):
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
	after, err := m.sampleAll(ctx)
	if err != nil {
		return Report{}, err
	}
	report := m.idleReport(before, after)
	return report, m.measureConvergence(ctx, &report, o.Changes)
}

type measurement struct {
	options Options
	http    *http.Client
}

// forEachDaemon calls f for every daemon with bounded concurrency and returns the first error.
func (m *measurement) forEachDaemon(f func(i int, api string) error) error {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxRequestsInFlight)
	failures := make([]error, len(m.options.API))
	for i, api := range m.options.API {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			failures[i] = f(i, api)
			<-slots
		}()
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) sampleAll(ctx context.Context) ([]sample, error) {
	list := make([]sample, len(m.options.API))
	err := m.forEachDaemon(func(i int, api string) error {
		s, err := m.fetchSample(ctx, api)
		list[i] = s
		return err
	})
	return list, err
}

func (m *measurement) fetchSample(ctx context.Context, api string) (sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+api+"/metrics", nil)
	if err != nil {
		return sample{}, err
	}
	response, err := m.http.Do(request)
	if err != nil {
		return sample{}, errors.Wrap(err, "metrics")
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(promodel.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return sample{}, errors.Wrapf(err, "metrics of %s", api)
	}
	return sampleOf(families), nil
}

func sampleOf(families map[string]*dto.MetricFamily) sample {
	s := sample{platformCalls: map[string]float64{}}
	s.cpu = sumSeries(families["process_cpu_seconds_total"], "")
	s.resident = sumSeries(families["process_resident_memory_bytes"], "")
	s.sent = sumSeries(families["sniperail_control_bytes_total"], "sent")
	s.received = sumSeries(families["sniperail_control_bytes_total"], "received")
	s.number = sumSeries(families["sniperail_configuration_number"], "")
	for _, metric := range families["sniperail_platform_calls_total"].GetMetric() {
		s.platformCalls[callKind(metric)] += metric.GetCounter().GetValue()
	}
	return s
}

// callKind returns whether the platform counts a call as a write, a read or a watch. The label value starts with the kind.
func callKind(metric *dto.Metric) string {
	for _, label := range metric.GetLabel() {
		kind, _, _ := strings.Cut(label.GetValue(), " ")
		switch {
		case label.GetName() != "reason":
		case kind == string(platform.KindWatch):
			return "watch"
		case store.Kind(kind).IsWrite():
			return "write"
		}
	}
	return "read"
}

// sumSeries returns the sum of the series of a family; a reason other than "" selects the series with that label value.
func sumSeries(family *dto.MetricFamily, reason string) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		if reason != "" && !slices.ContainsFunc(metric.GetLabel(), func(l *dto.LabelPair) bool { return l.GetValue() == reason }) {
			continue
		}
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + metric.GetUntyped().GetValue()
	}
	return total
}

// idleReport computes the figures of the idle window from the samples of every daemon before and after it.
func (m *measurement) idleReport(before, after []sample) Report {
	seconds := m.options.Idle.Seconds()
	r := Report{Daemons: len(after), Idle: m.options.Idle, PlatformCalls: map[string]float64{}}
	for i := range after {
		g := &r.Members
		// Only leaders write while nothing changes: they keep their leases alive.
		if after[i].platformCalls["write"] > before[i].platformCalls["write"] {
			g = &r.Leaders
		}
		g.Count++
		g.CPU.add(100 * (after[i].cpu - before[i].cpu) / seconds)
		g.Sent.add((after[i].sent - before[i].sent) / seconds)
		g.Received.add((after[i].received - before[i].received) / seconds)
		g.Resident.add(after[i].resident)
		for kind, calls := range after[i].platformCalls {
			r.PlatformCalls[kind] += (calls - before[i].platformCalls[kind]) / seconds
		}
	}
	r.Leaders.computeMeans()
	r.Members.computeMeans()
	return r
}

func (s *Spread) add(v float64) {
	s.Mean += v
	s.Max = max(s.Max, v)
}

func (g *Group) computeMeans() {
	for _, s := range []*Spread{&g.CPU, &g.Sent, &g.Received, &g.Resident} {
		s.Mean /= max(float64(g.Count), 1)
	}
}

// measureConvergence confirms changes one after the other, and waits for each until every daemon has it in force.
func (m *measurement) measureConvergence(ctx context.Context, r *Report, changes int) error {
	operator := client.New(m.options.API, "sniperail-bench", 5*time.Second)
	histogram := hdrhistogram.New(1, convergenceLimit.Microseconds(), 3)
	for i := range changes {
		number, err := confirmChange(ctx, operator, i)
		if err != nil {
			return err
		}
		late, err := m.awaitNumber(ctx, number, histogram)
		if err != nil {
			return err
		}
		if late {
			r.Late++
		}
		r.Changes++
	}
	seconds := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1e6 }
	r.Convergence = Quantiles{P50: seconds(50), P99: seconds(99), Max: seconds(100)}
	return nil
}

// confirmChange declares and confirms a change of the only route of the service "bench", and returns its number.
func confirmChange(ctx context.Context, operator *client.Client, i int) (model.Number, error) {
	declare := configuration.Declare{Change: &model.Change{
		Services: []model.Service{{Name: "bench", Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}}}},
		Routes:   []model.Route{{Name: "bench", Service: "bench", PathPrefix: "/bench", TimeoutMS: 1000 + i}},
	}}
	planned, err := operator.Command(ctx, "declare", declare)
	if err != nil {
		return 0, errors.Wrap(err, "declare")
	}
	confirmed, err := operator.Command(ctx, "confirm", configuration.Confirm{Plan: planned.Plans[0].ID})
	if err != nil {
		return 0, errors.Wrap(err, "confirm")
	}
	return confirmed.Number, nil
}

// awaitNumber polls until every daemon has the number in force, and records when each daemon was first seen with it. It
// returns late if a daemon does not have it within convergenceLimit.
func (m *measurement) awaitNumber(
	ctx context.Context, number model.Number, histogram *hdrhistogram.Histogram,
) (late bool, err error) {
	started := time.Now()
	reached := make([]time.Duration, len(m.options.API))
	for time.Since(started) < convergenceLimit {
		err := m.forEachDaemon(func(i int, api string) error {
			if reached[i] != 0 {
				return nil
			}
			present, err := m.fetchNumber(ctx, api)
			if err == nil && present >= number {
				reached[i] = time.Since(started)
			}
			return err
		})
		if err != nil {
			return false, err
		}
		if !slices.Contains(reached, 0) {
			break
		}
		time.Sleep(pollInterval)
	}
	for _, d := range reached {
		if d == 0 {
			late, d = true, convergenceLimit
		}
		if err := histogram.RecordValue(d.Microseconds()); err != nil {
			return late, errors.Wrap(err, "record")
		}
	}
	return late, nil
}

// fetchNumber returns the configuration number that a daemon has in force.
func (m *measurement) fetchNumber(ctx context.Context, api string) (model.Number, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+api+"/healthz", nil)
	if err != nil {
		return 0, err
	}
	response, err := m.http.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "health")
	}
	defer func() { _ = response.Body.Close() }()
	n, err := strconv.ParseUint(response.Header.Get("Sniperail-Number"), 10, 64)
	return model.Number(n), errors.Wrapf(err, "number of %s", api)
}

// Text formats the report for people.
func (r Report) Text() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("| daemons | role | count | CPU %% mean | CPU %% max | sent B/s mean | sent B/s max | received B/s mean | received B/s max | RSS MB mean | RSS MB max |")
	line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range []struct {
		name string
		Group
	}{{"leader", r.Leaders}, {"member", r.Members}} {
		line("| %d | %s | %d | %.2f | %.2f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f |", r.Daemons, g.name, g.Count,
			g.CPU.Mean, g.CPU.Max, g.Sent.Mean, g.Sent.Max, g.Received.Mean, g.Received.Max, g.Resident.Mean/1e6, g.Resident.Max/1e6)
	}
	line("platform calls/s: read %.2f, write %.2f, watch opened %.2f", r.PlatformCalls["read"], r.PlatformCalls["write"], r.PlatformCalls["watch"])
	line("convergence of %d changes: p50 %.3f s, p99 %.3f s, max %.3f s, late %d",
		r.Changes, r.Convergence.P50, r.Convergence.P99, r.Convergence.Max, r.Late)
	return b.String()
}
