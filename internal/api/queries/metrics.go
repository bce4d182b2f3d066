package queries

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"sniperail.example/sniperail/internal/query/reports"
)

// MoveCollector exports the share of each move under the names that the operators' dashboards keep. It declares no
// names in advance, because a configuration may change them while the daemon runs.
type MoveCollector struct{ Reader Reader }

// Describe declares nothing, which makes the collector unchecked.
func (MoveCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends one gauge for each move.
func (m MoveCollector) Collect(out chan<- prometheus.Metric) {
	configuration, ok := m.Reader.Configuration(context.Background())
	if !ok {
		return
	}
	for _, s := range reports.MoveSamples(configuration) {
		description := prometheus.NewDesc(s.Metric, "Share of the new version of a move.", s.Labels, nil)
		metric, err := prometheus.NewConstMetric(description, prometheus.GaugeValue, s.Share, s.Values...)
		if err != nil {
			metric = prometheus.NewInvalidMetric(description, err)
		}
		out <- metric
	}
}
