package moves

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"sniperail.example/sniperail/internal/model"
)

// stream draws the outcomes of all calls of a round at once.
type stream struct {
	draw    *draw
	source  *rand.PCG
	random  *rand.Rand
	buckets [][model.LatencyBuckets]float64 // cumulative, by route, old pace
	paced   [][model.LatencyBuckets]float64 // new version, not bad
	slowed  [][model.LatencyBuckets]float64 // new version, bad
}

func newStream(d *draw) *stream {
	s := &stream{draw: d, source: rand.NewPCG(d.outcomes, 1)}
	s.random = rand.New(s.source)
	for _, rt := range d.routes {
		s.buckets = append(s.buckets, cumulative(rt.median, rt.sigma))
		s.paced = append(s.paced, cumulative(rt.median*d.pace, rt.sigma))
		s.slowed = append(s.slowed, cumulative(rt.median*d.slowness, rt.sigma))
	}
	return s
}

// cumulative returns the distribution of a lognormal latency over the buckets.
func cumulative(median, sigma float64) [model.LatencyBuckets]float64 {
	var c [model.LatencyBuckets]float64
	normal := distuv.LogNormal{Mu: math.Log(median), Sigma: sigma}
	for i := range c {
		c[i] = normal.CDF(model.LatencyBound(i).Seconds())
	}
	c[model.LatencyBuckets-1] = 1
	return c
}

func (s *stream) binomial(n int, p float64) int {
	switch {
	case n == 0 || p <= 0:
		return 0
	case p >= 1:
		return n
	}
	return int(distuv.Binomial{N: float64(n), P: p, Src: s.source}.Rand())
}

func (s *stream) poisson(mean float64) int {
	if mean <= 0 {
		return 0
	}
	return int(distuv.Poisson{Lambda: mean, Src: s.source}.Rand())
}

// tally is what one round of one data centre did, for the measurement.
type tally struct{ calls, fresh, bad int }

// round draws one second of calls in one data centre. share is the new version's share of calls over the second.
func (s *stream) round(t, share float64) ([]model.KeyedSum, tally) {
	d := s.draw
	var sums []model.KeyedSum
	var seen tally
	for i, rt := range d.routes {
		calls := s.poisson(d.rate * rt.part / float64(len(d.customer.dataCentres)))
		fresh := s.binomial(calls, share)
		bad := d.badAt(t, i, share)
		seen.calls += calls
		seen.fresh += fresh
		shared := d.shared.at(t)
		failure, latency := rt.failure*d.ratio, &s.paced[i]
		if bad {
			seen.bad += fresh
			failure, latency = max(d.failure, rt.failure), &s.slowed[i]
		}
		if fresh > 0 {
			sums = append(sums, s.sum(rt.name, newVersion, fresh, either(failure, shared), latency))
		}
		if old := calls - fresh; old > 0 {
			sums = append(sums, s.sum(rt.name, oldVersion, old, either(rt.failure, shared, d.oldFault.at(t)), &s.buckets[i]))
		}
	}
	return sums, seen
}

// either returns the probability that one of several independent causes fails a call.
func either(rates ...float64) float64 {
	ok := 1.0
	for _, r := range rates {
		ok *= 1 - r
	}
	return 1 - ok
}

func (s *stream) sum(route model.RouteName, version model.VersionName, n int, failure float64, latency *[model.LatencyBuckets]float64) model.KeyedSum {
	k := model.KeyedSum{OutcomeKey: model.OutcomeKey{Service: s.draw.service, Route: route, Version: version}}
	k.Calls = uint32(n)
	k.Failures = uint32(s.binomial(n, failure))
	if n <= 2*model.LatencyBuckets {
		for range n {
			u := s.random.Float64()
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
		in := s.binomial(left, min(p, 1))
		k.Latency[b] += uint32(in)
		left -= in
		before = latency[b]
	}
	return k
}

// seconds converts the virtual clock.
func seconds(t float64) time.Duration { return time.Duration(t * float64(time.Second)) }
