package moves

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"gonum.org/v1/gonum/stat/combin"
	"pgregory.net/rapid"

	_ "sniperail.example/sniperail/internal/testseed"
)

// Guards against an e-value whose expectation exceeds 1 under no difference: the error bound would not hold.
func TestEValueHasExpectationOneWithoutDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fresh, old := rapid.IntRange(1, 30).Draw(t, "new"), rapid.IntRange(1, 60).Draw(t, "old")
		hits := rapid.IntRange(0, fresh+old).Draw(t, "hits")
		tolerance := rapid.SampledFrom([]float64{1, 1.5}).Draw(t, "tolerance")
		odds := []float64{2, 20}
		weights, values := 0.0, make([]float64, len(odds))
		for x := max(0, hits-old); x <= min(fresh, hits); x++ {
			w := math.Exp(combin.LogGeneralizedBinomial(float64(fresh), float64(x)) +
				combin.LogGeneralizedBinomial(float64(old), float64(hits-x)) + float64(x)*math.Log(tolerance))
			e := make([]float64, len(odds))
			table{New: fresh, NewHits: x, Old: old, OldHits: hits - x}.logEValues(odds, tolerance, e)
			weights += w
			for i := range e {
				values[i] += w * math.Exp(e[i])
			}
		}
		for i := range values {
			if math.Abs(values[i]/weights-1) > 1e-6 {
				t.Fatalf("odds %v: expectation %v", odds[i], values[i]/weights)
			}
		}
	})
}

// Guards against a judge that overflows on the sums of a whole fleet.
func TestEValueOfLargeCountsIsFinite(t *testing.T) {
	is := is.New(t)
	e := make([]float64, 1)
	table{New: 70_000, NewHits: 35_000, Old: 70_000, OldHits: 700}.logEValues([]float64{100}, 1.5, e)
	is.True(e[0] > 1000)
	is.True(!math.IsInf(e[0], 0))
}

// Guards against weights of start rounds that sum to more than 1: the error bound would not hold.
func TestStartWeightsSumToAtMostOne(t *testing.T) {
	is := is.New(t)
	p := newProcess([]float64{2})
	for i := range 20_000 {
		p.update(i%100 == 0)
	}
	is.True(p.value() <= 1e-9)
	is.True(p.value() > -0.1)
}
