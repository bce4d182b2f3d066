package moves

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"sniperail.example/sniperail/internal/model"
)

// callGenerator draws the outcomes of the calls of one run, all calls of a second at once.
type callGenerator struct {
	scenario     *scenario
	source       *rand.PCG
	random       *rand.Rand
	oldLatencies [][model.LatencyBuckets]float64 // cumulative distribution by route: old version
	newLatencies [][model.LatencyBuckets]float64 // new version, not bad
	badLatencies [][model.LatencyBuckets]float64 // new version, bad
}

func newCallGenerator(sc *scenario) *callGenerator {
	g := &callGenerator{scenario: sc, source: rand.NewPCG(sc.outcomeSeed, 1)}
	g.random = rand.New(g.source)
	for _, rt := range sc.routes {
		g.oldLatencies = append(g.oldLatencies, bucketDistribution(rt.medianLatency, rt.sigma))
		g.newLatencies = append(g.newLatencies, bucketDistribution(rt.medianLatency*sc.latencyRatio, rt.sigma))
		g.badLatencies = append(g.badLatencies, bucketDistribution(rt.medianLatency*sc.badLatencyRatio, rt.sigma))
	}
	return g
}

// bucketDistribution returns the cumulative distribution of a lognormal latency over the buckets.
func bucketDistribution(median, sigma float64) [model.LatencyBuckets]float64 {
	var c [model.LatencyBuckets]float64
	normal := distuv.LogNormal{Mu: math.Log(median), Sigma: sigma}
	for i := range c {
		c[i] = normal.CDF(model.LatencyBound(i).Seconds())
	}
	c[model.LatencyBuckets-1] = 1
	return c
}

func (g *callGenerator) binomial(n int, p float64) int {
	switch {
	case n == 0 || p <= 0:
		return 0
	case p >= 1:
		return n
	}
	return int(distuv.Binomial{N: float64(n), P: p, Src: g.source}.Rand())
}

func (g *callGenerator) poisson(mean float64) int {
	if mean <= 0 {
		return 0
	}
	return int(distuv.Poisson{Lambda: mean, Src: g.source}.Rand())
}

// generatedCalls counts the calls of one second in one data centre: all, those to the new version, and those to it while
// it was bad.
type generatedCalls struct{ calls, newVersion, badVersion int }

// drawSecond draws the calls of one second in one data centre. share is the new version's mean share over the second.
func (g *callGenerator) drawSecond(t, share float64) ([]model.KeyedSum, generatedCalls) {
	sc := g.scenario
	var sums []model.KeyedSum
	var counts generatedCalls
	for i, rt := range sc.routes {
		calls := g.poisson(sc.rate * rt.callFraction / float64(len(sc.customer.dataCentres)))
		newCalls := g.binomial(calls, share)
		bad := sc.isBadAt(t, i, share)
		counts.calls += calls
		counts.newVersion += newCalls
		sharedRate := sc.sharedFault.rateAt(t)
		failure, latency := rt.failureRate*sc.failureRatio, &g.newLatencies[i]
		if bad {
			counts.badVersion += newCalls
			failure, latency = max(sc.badFailureRate, rt.failureRate), &g.badLatencies[i]
		}
		if newCalls > 0 {
			sums = append(sums, g.drawSum(rt.name, newVersion, newCalls, combinedFailureRate(failure, sharedRate), latency))
		}
		if old := calls - newCalls; old > 0 {
			sums = append(sums, g.drawSum(rt.name, oldVersion, old,
				combinedFailureRate(rt.failureRate, sharedRate, sc.oldVersionFault.rateAt(t)), &g.oldLatencies[i]))
		}
	}
	return sums, counts
}

// combinedFailureRate returns the probability that at least one of several independent causes fails a call.
func combinedFailureRate(rates ...float64) float64 {
	ok := 1.0
	for _, r := range rates {
		ok *= 1 - r
	}
	return 1 - ok
}

// drawSum draws the outcomes of n calls with a failure rate and a cumulative latency distribution.
func (g *callGenerator) drawSum(route model.RouteName, version model.VersionName, n int, failure float64,
	latency *[model.LatencyBuckets]float64,
) model.KeyedSum {
	k := model.KeyedSum{OutcomeKey: model.OutcomeKey{Service: g.scenario.service, Route: route, Version: version}}
	k.Calls = uint32(n)
	k.Failures = uint32(g.binomial(n, failure))
	if n <= 2*model.LatencyBuckets {
		for range n {
			u := g.random.Float64()
			b := 0
			for b < model.LatencyBuckets-1 && latency[b] < u {
				b++
			}
			k.Latency[b]++
		}
		return k
	}
	left, before := n, 0.0
	for b := 0; left > 0; b++ {
		p := 1.0
		if b < model.LatencyBuckets-1 {
			p = (latency[b] - before) / max(1-before, 1e-12)
		}
		in := g.binomial(left, min(p, 1))
		k.Latency[b] += uint32(in)
		left -= in
		before = latency[b]
	}
	return k
}

// seconds converts a time of the virtual clock, in seconds since the start, to a duration.
func seconds(t float64) time.Duration { return time.Duration(t * float64(time.Second)) }
