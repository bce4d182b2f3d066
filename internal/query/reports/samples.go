package reports

import (
	"cmp"
	"slices"

	"sniperail.example/sniperail/internal/model"
)

// MoveSample is the metric sample of one move.
type MoveSample struct {
	Metric string
	// Values holds the value of each label in Labels, at the same index.
	Labels, Values []string
	// Share is the share of the new version, from 0 to 1.
	Share float64
}

// DefaultMoveMetric is the name of a move's metric if the operators' dashboard sets no other name.
const DefaultMoveMetric = "sniperail_move_share_ratio"

// MoveLabels are the labels of a move's metric, which the operators' dashboard may rename.
var MoveLabels = []string{"move", "service", "from", "to", "phase"}

// EndedMoves returns the moves of an earlier configuration that are no longer in a later one, with the phase in which they
// ended. A daemon receives active moves only, so a move that has disappeared was withdrawn if its version is in the
// withdrawn list, and is done otherwise.
func EndedMoves(before, after *model.Configuration) []model.Move {
	var ended []model.Move
	for _, m := range before.Moves {
		if after.Move(m.ID) != nil {
			continue
		}
		m.Phase = model.PhaseDone
		if after.IsWithdrawn(m.Version()) {
			m.Phase = model.PhaseWithdrawn
		}
		ended = append(ended, m)
	}
	return ended
}

// MoveSamples returns one sample for each move of the configuration and each ended move, with the metric and label names of
// the operators' dashboard.
func MoveSamples(c *model.Configuration, ended []model.Move) []MoveSample {
	metric, labels := DefaultMoveMetric, slices.Clone(MoveLabels)
	if d := c.Dashboard; d != nil {
		metric = cmp.Or(d.MoveMetric, metric)
		for i, label := range labels {
			labels[i] = cmp.Or(d.Labels[label], label)
		}
	}
	var samples []MoveSample
	for _, m := range slices.Concat(c.Moves, ended) {
		samples = append(samples, MoveSample{Metric: metric, Labels: labels,
			Share:  float64(share(c, &m)) / float64(model.FullShare),
			Values: []string{string(m.ID), string(m.Service), string(m.From), string(m.To), string(m.Phase)}})
	}
	return samples
}
