// Package daemons measures real sniperaild processes from outside: their resident memory, processor time, control bytes
// and platform calls while idle, and the time until a confirmed change is in force on each of them.
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
	// pollInterval bounds the error of a convergence time.
	pollInterval = 10 * time.Millisecond
	// changeLimit is how long a change may take: the size in docs/design.md asks for 13 s.
	changeLimit = 13 * time.Second
	// settle is the time after the first configuration until heartbeats are regular again.
	settle = 3 * time.Second
	// pollers bounds the requests in flight, so that polling does not load the machine that it measures.
	pollers = 8
)

// Report is the result of a measurement.
type Report struct {
	Daemons int           `json:"daemons"`
	Idle    time.Duration `json:"idleNanoseconds"`
	// Leaders are daemons that hold a lease; all others are members, relays among them.
	Leaders, Members Group
	// PlatformCalls is the rate of calls by part (read, write, watch), calls/s over all daemons.
	PlatformCalls map[string]float64 `json:"platformCallsPerSecond"`
	// Convergence is the time from the answer to a confirmation until a daemon had the number in force.
	Convergence Quantiles `json:"convergenceSeconds"`
	Changes     int       `json:"changes"`
	// Late counts changes that did not reach every daemon within the limit.
	Late int `json:"late"`
}

// Group sums up daemons of one role.
type Group struct {
	Count int
	// CPU is in percent of one core, Sent and Received in bytes a second, Resident in bytes.
	CPU, Sent, Received, Resident Spread
}

// Spread is a mean and a maximum.
type Spread struct{ Mean, Max float64 }

// Quantiles are times in seconds.
type Quantiles struct{ P50, P99, Max float64 }

// sample is what one daemon's metrics say.
type sample struct {
	cpu, resident, sent, received, number float64
	platform                              map[string]float64
}

// Run measures the daemons.
func Run(ctx context.Context, o Options) (Report, error) {
	m := &measurement{options: o, http: &http.Client{Timeout: 5 * time.Second}}
	// Daemons without a configuration ask their leader for one each second, so the idle window needs one in force.
	if err := m.converge(ctx, &Report{}, 1); err != nil {
		return Report{}, err
	}
	time.Sleep(settle)
	before, err := m.samples(ctx)
	if err != nil {
		return Report{}, err
	}
	select {
	case <-time.After(o.Idle):
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
	after, err := m.samples(ctx)
	if err != nil {
		return Report{}, err
	}
	report := m.idle(before, after)
	return report, m.converge(ctx, &report, o.Changes)
}

type measurement struct {
	options Options
	http    *http.Client
}

// each calls f for every daemon with bounded concurrency.
func (m *measurement) each(f func(i int, api string) error) error {
	var group sync.WaitGroup
	slots := make(chan struct{}, pollers)
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

func (m *measurement) samples(ctx context.Context) ([]sample, error) {
	list := make([]sample, len(m.options.API))
	err := m.each(func(i int, api string) error {
		s, err := m.sample(ctx, api)
		list[i] = s
		return err
	})
	return list, err
}

func (m *measurement) sample(ctx context.Context, api string) (sample, error) {
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
	return read(families), nil
}

func read(families map[string]*dto.MetricFamily) sample {
	s := sample{platform: map[string]float64{}}
	s.cpu = sum(families["process_cpu_seconds_total"], "")
	s.resident = sum(families["process_resident_memory_bytes"], "")
	s.sent = sum(families["sniperail_control_bytes_total"], "sent")
	s.received = sum(families["sniperail_control_bytes_total"], "received")
	s.number = sum(families["sniperail_configuration_number"], "")
	for _, metric := range families["sniperail_platform_calls_total"].GetMetric() {
		s.platform[part(metric)] += metric.GetCounter().GetValue()
	}
	return s
}

// part says whether the service counts a call as a write, a read or a waiting watch. The label starts with the kind.
func part(metric *dto.Metric) string {
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

// sum adds the series of a family; a reason other than "" selects the series with that label value.
func sum(family *dto.MetricFamily, reason string) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		if reason != "" && !slices.ContainsFunc(metric.GetLabel(), func(l *dto.LabelPair) bool { return l.GetValue() == reason }) {
			continue
		}
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + metric.GetUntyped().GetValue()
	}
	return total
}

// idle compares two samples of every daemon.
func (m *measurement) idle(before, after []sample) Report {
	seconds := m.options.Idle.Seconds()
	r := Report{Daemons: len(after), Idle: m.options.Idle, PlatformCalls: map[string]float64{}}
	for i := range after {
		g := &r.Members
		// Only leaders write while nothing changes: they keep their leases alive.
		if after[i].platform["write"] > before[i].platform["write"] {
			g = &r.Leaders
		}
		g.Count++
		g.CPU.add(100 * (after[i].cpu - before[i].cpu) / seconds)
		g.Sent.add((after[i].sent - before[i].sent) / seconds)
		g.Received.add((after[i].received - before[i].received) / seconds)
		g.Resident.add(after[i].resident)
		for part, calls := range after[i].platform {
			r.PlatformCalls[part] += (calls - before[i].platform[part]) / seconds
		}
	}
	r.Leaders.finish()
	r.Members.finish()
	return r
}

func (s *Spread) add(v float64) {
	s.Mean += v
	s.Max = max(s.Max, v)
}

func (g *Group) finish() {
	for _, s := range []*Spread{&g.CPU, &g.Sent, &g.Received, &g.Resident} {
		s.Mean /= max(float64(g.Count), 1)
	}
}

// converge confirms changes and waits for each daemon to have them in force.
func (m *measurement) converge(ctx context.Context, r *Report, changes int) error {
	operator := client.New(m.options.API, "sniperail-bench", 5*time.Second)
	histogram := hdrhistogram.New(1, changeLimit.Microseconds(), 3)
	for i := range changes {
		number, err := change(ctx, operator, i)
		if err != nil {
			return err
		}
		late, err := m.await(ctx, number, histogram)
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

// change confirms a change of one route of a service of its own.
func change(ctx context.Context, operator *client.Client, i int) (model.Number, error) {
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

// await polls until every daemon has the number, and records when each was first seen with it.
func (m *measurement) await(ctx context.Context, number model.Number, histogram *hdrhistogram.Histogram) (late bool, err error) {
	started := time.Now()
	reached := make([]time.Duration, len(m.options.API))
	for time.Since(started) < changeLimit {
		err := m.each(func(i int, api string) error {
			if reached[i] != 0 {
				return nil
			}
			present, err := m.number(ctx, api)
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
			late, d = true, changeLimit
		}
		if err := histogram.RecordValue(d.Microseconds()); err != nil {
			return late, errors.Wrap(err, "record")
		}
	}
	return late, nil
}

// number reads the configuration number that a daemon has in force.
func (m *measurement) number(ctx context.Context, api string) (model.Number, error) {
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

// Text renders the report for people.
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
