package queries

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/reports"
)

// Guards against a progress bar that ends without the outcome or without the reason of a withdrawal.
func TestBarProgressEndsWithTheOutcome(t *testing.T) {
	is := is.New(t)
	var terminal bytes.Buffer
	b := NewBarProgress(&terminal)
	is.NoErr(b.Update(reports.Move{Move: "m", Service: "s", From: "v1", To: "v2", Phase: model.PhaseRunning, Share: 2500, Step: 1, Steps: 4}))
	is.True(strings.Contains(terminal.String(), "25%"))
	is.NoErr(b.Finish(reports.Move{Move: "m", Phase: model.PhaseWithdrawn, Reason: "errors", Number: 7, InForce: reports.Yes}))
	is.True(strings.HasSuffix(terminal.String(), "\nmove=m outcome=withdrawn share=0.00% number=7 in_force=yes reason=\"errors\"\n"))
}
