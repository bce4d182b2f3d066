package latency_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/latency"
)

// Guards against a measurement that loses calls or reports no latencies. It does not bound the latencies.
func TestEachRowHasLatencies(t *testing.T) {
	is := is.New(t)
	o := latency.Options{Sizes: []int{1 << 10}, Loads: []float64{0.05}, Duration: 200 * time.Millisecond, Workers: 8, Seed: 1}
	if os.Getenv("LATENCY_TRIAL") != "" {
		o = latency.Options{Seed: 1, Duration: 3 * time.Second}
	}
	rows, err := latency.Run(context.Background(), o)
	is.NoErr(err)
	for _, r := range rows {
		t.Log(r)
		is.Equal(r.Failed, int64(0))
		is.True(r.Rate > 0 && r.Through.P50 > 0)
	}
}
