package sidecar_test

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/sidecar"
)

// shrinkingTables returns a table with one target fewer at each read.
type shrinkingTables struct{ targets []model.Target }

func (s *shrinkingTables) Table() *routing.Table {
	table := &routing.Table{View: &model.View{Targets: s.targets}}
	s.targets = s.targets[1:]
	return table
}

// Guards against a panic during a scrape of the metrics because a target is removed between two reads of the table.
func TestReadyTargetsReadsOneTable(t *testing.T) {
	is := is.New(t)
	ready := model.Target{State: model.TargetReady}
	is.Equal(sidecar.CountReadyTargets(&shrinkingTables{[]model.Target{ready, ready, {State: model.TargetDraining}}}), 2)
}
