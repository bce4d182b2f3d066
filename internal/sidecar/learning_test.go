package sidecar

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/settings"
)

// Guards against a learned limit that hides from the evaluation of a move how slow the new version is with all its slots, and
// against one that is learned although nobody asked for it.
func TestNothingIsLearnedDuringAMove(t *testing.T) {
	is := is.New(t)
	view := &model.View{
		Local:         model.Target{Service: "s", Version: "v2"},
		Configuration: &model.Configuration{Moves: []model.Move{{Service: "s", To: "v2", Phase: model.PhaseDone}, {Service: "other"}}},
	}
	on, off := &Sidecar{settings: settings.Sidecar{LearnConcurrency: true}}, &Sidecar{}
	is.True(on.learnsConcurrency(view))
	is.True(!off.learnsConcurrency(view))
	view.Configuration.Moves[0].Phase = model.PhaseWithdrawing
	is.True(!on.learnsConcurrency(view))
	is.True(!on.learnsConcurrency(&model.View{}))
}
