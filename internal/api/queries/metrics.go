package queries

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/reports"
)

// maxEndedMoves limits the number of metric series of ended moves.
const maxEndedMoves = 64

// MoveCollector exports the share of each move, with the metric and label names of the operators' dashboard. It reads only
// the daemon's own view, because scrapes of 1,300 daemons must not put load on the platform.
type MoveCollector struct {
	view func() *model.Configuration

	mu    sync.Mutex
	last  *model.Configuration
	ended []model.Move
}

// NewMoveCollector returns a collector that reads a daemon's own view, which is nil while the daemon has no configuration.
func NewMoveCollector(view func() *model.Configuration) *MoveCollector {
	return &MoveCollector{view: view}
}

// Describe declares no metrics, which makes the collector unchecked: a new configuration may change the metric's name and
// labels while the daemon runs.
func (*MoveCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends one gauge for each move.
func (m *MoveCollector) Collect(out chan<- prometheus.Metric) {
	for _, s := range m.collectSamples() {
		description := prometheus.NewDesc(s.Metric, "Share of the new version of a move.", s.Labels, nil)
		metric, err := prometheus.NewConstMetric(description, prometheus.GaugeValue, s.Share, s.Values...)
		if err != nil {
			metric = prometheus.NewInvalidMetric(description, err)
		}
		out <- metric
	}
}

// collectSamples returns the samples of the current moves and of ended ones. It adds the moves that ended since the last
// scrape to m.ended.
func (m *MoveCollector) collectSamples() []reports.MoveSample {
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
