package overload_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/overload"
)

// Guards against a measurement that reports a row without goodput. It does not bound the figures.
func TestEachRowHasGoodput(t *testing.T) {
	is := is.New(t)
	o := overload.Options{Targets: 1, Slots: 2, Duration: 200 * time.Millisecond, Factors: []float64{1}, Workers: 50, Seed: 1}
	if os.Getenv("OVERLOAD_TRIAL") != "" {
		o = overload.Options{Seed: 1, Duration: 4 * time.Second}
	}
	rows, err := overload.Run(context.Background(), o)
	is.NoErr(err)
	for _, r := range rows {
		t.Log(r)
		is.True(r.Goodput > 0)
	}
}
