package traffic

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/telemetry"
)

// Metrics holds the instruments of the call path. Both handlers of a daemon share one value.
type Metrics struct {
	refusals *telemetry.CounterSet
	retries  *telemetry.CounterSet
	// retriesRefused counts failed attempts after which no retry was allowed.
	retriesRefused  *telemetry.CounterSet
	droppedOutcomes *telemetry.CounterSet
	ejections       *telemetry.CounterSet
	// quotaTokens counts the tokens that owners granted, and requests by how they were served without one.
	quotaTokens *telemetry.CounterSet
	// callersRefused counts connections and requests for which there was no room, callersEnded connections that were ended in favour of
	// others.
	callersRefused, callersEnded *telemetry.CounterSet
	calls                        metric.Int64Counter
	latency                      metric.Float64Histogram
	// requests records the duration of callers' requests, queue the time of calls in a target's queue, both by route.
	requests, queue routeHistogram
	meter           metric.Meter
	// FractionalRetryAfter makes Retry-After hold fractions of a second, which callers must understand.
	FractionalRetryAfter bool
}

// retryAfter formats Retry-After: in whole seconds, rounded up, unless FractionalRetryAfter is set.
func (m *Metrics) retryAfter(d time.Duration) string {
	if m.FractionalRetryAfter {
		return strconv.FormatFloat(max(d.Seconds(), 0.001), 'f', 3, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

// latencyBounds are the histogram bounds in seconds. They are fine enough for the limit on added latency and reach up to
// the default deadline.
var latencyBounds = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// NewMetrics creates the instruments. It fails only if a name is invalid.
func NewMetrics(m *telemetry.Metrics) (*Metrics, error) {
	calls, err := m.Meter().Int64Counter("sniperail_calls",
		metric.WithDescription("Calls that the ingress sent, by service, route, version and outcome."))
	if err != nil {
		return nil, errors.Wrap(err, "calls counter")
	}
	latency, err := m.Meter().Float64Histogram("sniperail_call_seconds",
		metric.WithDescription("Time of one attempt as the ingress sees it."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, errors.Wrap(err, "latency histogram")
	}
	requests, err := m.Meter().Float64Histogram("sniperail_request_seconds",
		metric.WithDescription("Time of a caller's request with all attempts, by route."),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, errors.Wrap(err, "request histogram")
	}
	queue, err := m.Meter().Float64Histogram("sniperail_queue_seconds",
		metric.WithDescription("Time of a call in the queue beside the target, by route."),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, errors.Wrap(err, "queue histogram")
	}
	return &Metrics{
		requests: routeHistogram{histogram: requests}, queue: routeHistogram{histogram: queue},
		refusals:        m.CounterSet("sniperail_refusals", "Refused calls by reason."),
		retries:         m.CounterSet("sniperail_retries", "Retries by reason."),
		retriesRefused:  m.CounterSet("sniperail_retries_refused", "Failed attempts that were not retried, by reason."),
		droppedOutcomes: m.CounterSet("sniperail_outcomes_dropped", "Call outcomes that were not reported to the control loop."),
		ejections:       m.CounterSet("sniperail_ejections", "Targets that this daemon stopped selecting, by reason."),
		quotaTokens: m.CounterSet("sniperail_quota_tokens",
			"Tokens that the owners of tenants granted, and requests that were denied or served without their owner."),
		callersRefused: m.CounterSet("sniperail_callers_refused",
			"Connections and requests of callers that were refused, by the limit that was reached."),
		callersEnded: m.CounterSet("sniperail_callers_ended",
			"Connections of callers that were ended in favour of others, by what they waited for."),
		calls: calls, latency: latency, meter: m.Meter(),
	}, nil
}

// routeHistogram is a histogram with a label "route" whose attribute sets are cached.
type routeHistogram struct {
	histogram metric.Float64Histogram
	options   lazyMap[model.RouteName, []metric.RecordOption]
}

func (h *routeHistogram) record(ctx context.Context, route model.RouteName, d time.Duration) {
	h.histogram.Record(ctx, d.Seconds(), *h.options.get(route, routeOptions)...)
}

func routeOptions(route model.RouteName) *[]metric.RecordOption {
	return &[]metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("route", string(route))))}
}

// occupancySource is the queue of a target.
type occupancySource interface {
	// Occupancy returns the occupied slots, the current limit of slots and the queued calls.
	Occupancy() (running, slots, queued int)
}

// RegisterAdmissionGauges adds gauges of the slots and the queue of a target. It fails only if a name is invalid.
func (m *Metrics) RegisterAdmissionGauges(a occupancySource) error {
	for name, value := range map[string]func() int{
		"sniperail_slots_used":  func() int { running, _, _ := a.Occupancy(); return running },
		"sniperail_slots_limit": func() int { _, limit, _ := a.Occupancy(); return limit },
		"sniperail_queue_calls": func() int { _, _, queued := a.Occupancy(); return queued },
	} {
		if err := m.registerGauge(name, "Occupancy of the target beside the daemon.", func() int64 { return int64(value()) }); err != nil {
			return err
		}
	}
	return nil
}

func (m *Metrics) registerGauge(name, description string, value func() int64) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	}
	_, err := m.meter.Int64ObservableGauge(name, metric.WithInt64Callback(observe), metric.WithDescription(description))
	return errors.Wrap(err, name)
}

// RegisterCallerGauges adds gauges of what is held for callers. It fails only if a name is invalid.
func (m *Metrics) RegisterCallerGauges(b *CallerBudget) error {
	for name, value := range map[string]func() int64{
		"sniperail_caller_bytes":       func() int64 { bytes, _ := b.Held(); return bytes },
		"sniperail_caller_connections": func() int64 { _, connections := b.Held(); return int64(connections) },
	} {
		if err := m.registerGauge(name, "What the process holds for callers.", value); err != nil {
			return err
		}
	}
	return nil
}

// series holds the outcomes of one service, route and version since the last flush, and their cached attribute sets.
type series struct {
	key                      model.OutcomeKey
	okOptions, failedOptions []metric.AddOption
	latencyOptions           []metric.RecordOption

	mu  sync.Mutex
	sum model.OutcomeSum
}

// recorder sums up the outcomes between two flushes.
type recorder struct {
	metrics  *Metrics
	observer Observer

	mu     sync.RWMutex
	series map[model.OutcomeKey]*series
}

func newRecorder(metrics *Metrics, observer Observer) *recorder {
	return &recorder{metrics: metrics, observer: observer, series: map[model.OutcomeKey]*series{}}
}

// record adds the outcome of one executed attempt.
func (r *recorder) record(ctx context.Context, key model.OutcomeKey, failed bool, latency time.Duration) {
	s := r.seriesFor(key)
	s.mu.Lock()
	s.sum.Observe(failed, latency)
	s.mu.Unlock()
	r.metrics.latency.Record(ctx, latency.Seconds(), s.latencyOptions...)
}

func (r *recorder) seriesFor(key model.OutcomeKey) *series {
	r.mu.RLock()
	s := r.series[key]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	labels := []attribute.KeyValue{
		attribute.String("service", string(key.Service)), attribute.String("route", string(key.Route)),
		attribute.String("version", string(key.Version)),
	}
	outcome := func(name string) []metric.AddOption {
		set := attribute.NewSet(append([]attribute.KeyValue{attribute.String("outcome", name)}, labels...)...)
		return []metric.AddOption{metric.WithAttributeSet(set)}
	}
	s = &series{
		key: key, okOptions: outcome("ok"), failedOptions: outcome("failed"),
		latencyOptions: []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(labels...))},
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if other := r.series[key]; other != nil {
		return other
	}
	r.series[key] = s
	return s
}

// flush reports the outcomes since the last flush. The calls of a batch that the observer drops are counted.
func (r *recorder) flush(ctx context.Context) {
	sums := r.collect(ctx)
	if len(sums) == 0 || r.observer == nil || r.observer.Observe(sums) {
		return
	}
	r.countDropped(ctx, sums)
}

// collect returns the outcomes since it was last called and adds them to the counters.
func (r *recorder) collect(ctx context.Context) []model.KeyedSum {
	var sums []model.KeyedSum
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, s := range r.series {
		s.mu.Lock()
		sum := s.sum
		s.sum = model.OutcomeSum{}
		s.mu.Unlock()
		if sum.Calls == 0 {
			continue
		}
		r.metrics.calls.Add(ctx, int64(sum.Calls-sum.Failures), s.okOptions...)
		if sum.Failures > 0 {
			r.metrics.calls.Add(ctx, int64(sum.Failures), s.failedOptions...)
		}
		sums = append(sums, model.KeyedSum{OutcomeKey: s.key, OutcomeSum: sum})
	}
	return sums
}

// countDropped counts the calls of a batch that was dropped.
func (r *recorder) countDropped(ctx context.Context, sums []model.KeyedSum) {
	var lost int64
	for _, s := range sums {
		lost += int64(s.Calls)
	}
	r.metrics.droppedOutcomes.Add(ctx, "channel-full", lost)
}
