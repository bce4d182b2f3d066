package moves

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"gonum.org/v1/gonum/stat/combin"
	"pgregory.net/rapid"

	_ "sniperail.example/sniperail/internal/testseed"
)

// Guards against an e-value whose expectation exceeds 1 if the versions do not differ: the bound on false withdrawals
// would not hold.
func TestEValueHasExpectationOneWithoutDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newCalls, oldCalls := rapid.IntRange(1, 30).Draw(t, "new"), rapid.IntRange(1, 60).Draw(t, "old")
		hits := rapid.IntRange(0, newCalls+oldCalls).Draw(t, "hits")
		tolerance := rapid.SampledFrom([]float64{1, 1.5}).Draw(t, "tolerance")
		odds := []float64{2, 20}
		weights, values := 0.0, make([]float64, len(odds))
		for x := max(0, hits-oldCalls); x <= min(newCalls, hits); x++ {
			w := math.Exp(combin.LogGeneralizedBinomial(float64(newCalls), float64(x)) +
				combin.LogGeneralizedBinomial(float64(oldCalls), float64(hits-x)) + float64(x)*math.Log(tolerance))
			e := make([]float64, len(odds))
			contingencyTable{New: newCalls, NewHits: x, Old: oldCalls, OldHits: hits - x}.addLogEValues(odds, tolerance, e)
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

// Guards against a numeric overflow on the sums of a large fleet.
func TestEValueOfLargeCountsIsFinite(t *testing.T) {
	is := is.New(t)
	e := make([]float64, 1)
	contingencyTable{New: 70_000, NewHits: 35_000, Old: 70_000, OldHits: 700}.addLogEValues([]float64{100}, 1.5, e)
	is.True(e[0] > 1000)
	is.True(!math.IsInf(e[0], 0))
}

// Guards against weights of start rounds that sum to more than 1: the bound on false withdrawals would not hold.
func TestStartWeightsSumToAtMostOne(t *testing.T) {
	is := is.New(t)
	p := newSequentialTest([]float64{2})
	for i := range 20_000 {
		p.endRound(i%100 == 0)
	}
	is.True(p.logEvidence() <= 1e-9)
	is.True(p.logEvidence() > -0.1)
}
