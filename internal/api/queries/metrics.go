package queries

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/reports"
)

// maxEndedMoves bounds the series of moves that have ended.
const maxEndedMoves = 64

// MoveCollector exports the share of each move under the names that the operators' dashboards keep. It reads only the
// daemon's own view, since a scrape of each of 1,300 daemons must cost the platform nothing.
type MoveCollector struct {
	view func() *model.Configuration

	mu    sync.Mutex
	last  *model.Configuration
	ended []model.Move
}

// NewMoveCollector returns a collector over a daemon's own view, which is nil while the daemon knows no configuration.
func NewMoveCollector(view func() *model.Configuration) *MoveCollector {
	return &MoveCollector{view: view}
}

// Describe declares no metrics, which makes the collector unchecked: a configuration may change the names while the
// daemon runs.
func (*MoveCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends one gauge for each move.
func (m *MoveCollector) Collect(out chan<- prometheus.Metric) {
	for _, s := range m.samples() {
		description := prometheus.NewDesc(s.Metric, "Share of the new version of a move.", s.Labels, nil)
		metric, err := prometheus.NewConstMetric(description, prometheus.GaugeValue, s.Share, s.Values...)
		if err != nil {
			metric = prometheus.NewInvalidMetric(description, err)
		}
		out <- metric
	}
}

// samples also remembers the moves that ended since the last scrape.
func (m *MoveCollector) samples() []reports.MoveSample {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.view()
	if view == nil {
		return nil
	}
	if m.last != nil {
		m.ended = append(m.ended, reports.EndedMoves(m.last, view)...)
		m.ended = m.ended[max(0, len(m.ended)-maxEndedMoves):]
	}
	m.last = view
	return reports.MoveSamples(view, m.ended)
}
