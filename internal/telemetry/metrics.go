package telemetry

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// Metrics is the registry of one program: OpenTelemetry instruments that a Prometheus endpoint serves.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter

	mu          sync.Mutex
	counters    map[string]metric.Int64Counter
	counterSets map[string]*CounterSet
}

// NewMetrics returns an empty registry.
func NewMetrics(program string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "prometheus exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter),
		sdkmetric.WithResource(resource.NewSchemaless(attribute.String("service.name", program))))
	return &Metrics{
		provider: provider, registry: registry, meter: provider.Meter(program),
		counters: map[string]metric.Int64Counter{}, counterSets: map[string]*CounterSet{},
	}, nil
}

// Meter returns the meter, which creates instruments. Names contain their unit, such as sniperail_call_seconds.
func (m *Metrics) Meter() metric.Meter { return m.meter }

// Add increments a counter for a reason. It is meant for rare events; the call path keeps a CounterSet.
func (m *Metrics) Add(counter, reason string) {
	m.mu.Lock()
	set, ok := m.counterSets[counter]
	if !ok {
		set = &CounterSet{counter: m.counter(counter, "Events of the control loop by reason.")}
		m.counterSets[counter] = set
	}
	m.mu.Unlock()
	set.Add(context.Background(), reason, 1)
}

// Gatherer returns the registry, for an endpoint that also serves other metrics.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown releases the instruments.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// RegisterGauge registers a gauge whose value is read when the metrics are collected.
func (m *Metrics) RegisterGauge(name, description string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrapf(err, "gauge %s", name)
}

// CounterSet is one counter with a label "reason" whose attribute sets are cached, so that counting on the call path
// allocates nothing.
type CounterSet struct {
	counter metric.Int64Counter
	options sync.Map // reason -> []metric.AddOption
}

// CounterSet returns a counter, labelled by reason. The name ends in _total in the Prometheus output.
func (m *Metrics) CounterSet(name, description string) *CounterSet {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &CounterSet{counter: m.counter(name, description)}
}

// Add adds n to the counter for a reason.
func (c *CounterSet) Add(ctx context.Context, reason string, n int64) {
	cached, ok := c.options.Load(reason)
	if !ok {
		option := metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", reason)))
		cached, _ = c.options.LoadOrStore(reason, []metric.AddOption{option})
	}
	c.counter.Add(ctx, n, cached.([]metric.AddOption)...)
}

// counter returns the instrument with a name, and creates it if there is none. The lock must be held.
func (m *Metrics) counter(name, description string) metric.Int64Counter {
	if c, ok := m.counters[name]; ok {
		return c
	}
	c, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		panic(errors.Wrapf(err, "counter %s", name))
	}
	m.counters[name] = c
	return c
}

// ControlBytesCounter returns a function that counts the bytes of control traffic between daemons, by direction.
func (m *Metrics) ControlBytesCounter() func(sent bool, n int) {
	counter := m.CounterSet("sniperail_control_bytes", "Bytes of control traffic between daemons, by direction.")
	return func(sent bool, n int) {
		direction := "received"
		if sent {
			direction = "sent"
		}
		counter.Add(context.Background(), direction, int64(n))
	}
}
