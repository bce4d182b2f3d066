package sidecar_test

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/sidecar"
)

// shrinking returns a table with one target fewer at each read.
type shrinking struct{ targets []model.Target }

func (s *shrinking) Table() *routing.Table {
	table := &routing.Table{View: &model.View{Targets: s.targets}}
	s.targets = s.targets[1:]
	return table
}

// Guards against a panic during a scrape of the metrics because a target is removed meanwhile.
func TestReadyTargetsReadsOneTable(t *testing.T) {
	is := is.New(t)
	ready := model.Target{State: model.TargetReady}
	is.Equal(sidecar.CountReadyTargets(&shrinking{[]model.Target{ready, ready, {State: model.TargetDraining}}}), 2)
}
