package rollout

import (
	"math"

	"sniperail.example/sniperail/internal/model"
)

const (
	// slowBucketDistance is the number of latency buckets, each a factor of 1.6, above the old version's median from which a
	// call counts as very slow: it takes at least four times the median.
	slowBucketDistance = 4
	// oldDecay is the factor by which the old version's histograms decay per round, a half-life of about seven rounds.
	// Without the decay, a fault that slows down both versions would not shift the median.
	oldDecay = 0.9
	// minOldCalls is the minimum number of recent calls of the old version for a median.
	minOldCalls = 15
	// toleratedSlowFraction is the fraction of very slow calls that a good version may have: its targets may be half as fast
	// as those of the old version. badSlowFraction is the fraction that the test looks for.
	toleratedSlowFraction = 0.11
	badSlowFraction       = 0.35
	// evidenceThreshold is the log-likelihood ratio at which a version counts as proven slow.
	evidenceThreshold = 6.9
)

// slowCallTest is a sequential test on the fraction of very slow calls of the new version. It supplements the comparison of
// package moves, which ranks the calls of both versions together and therefore shows little if some calls of the version with
// most of the traffic are slow.
type slowCallTest struct {
	oldLatencies map[model.RouteName]*[model.LatencyBuckets]float64
	// evidence is the log-likelihood ratio, which never falls below 0 so that a fault is found whenever it begins.
	evidence         float64
	calls, slowCalls int
}

func newSlowCallTest() *slowCallTest {
	return &slowCallTest{oldLatencies: map[model.RouteName]*[model.LatencyBuckets]float64{}}
}

// observeRound adds the outcomes of one round.
func (t *slowCallTest) observeRound(m *model.Rollout, observations []Observation) {
	for _, histogram := range t.oldLatencies {
		for i := range histogram {
			histogram[i] *= oldDecay
		}
	}
	for i := range observations {
		for j := range observations[i].Sums {
			if s := &observations[i].Sums[j]; s.Version == m.From {
				t.addOldCalls(s)
			}
		}
	}
	for i := range observations {
		for j := range observations[i].Sums {
			if s := &observations[i].Sums[j]; s.Version == m.To {
				t.addNewCalls(s)
			}
		}
	}
}

func (t *slowCallTest) addOldCalls(s *model.KeyedSum) {
	histogram := t.oldLatencies[s.Route]
	if histogram == nil {
		histogram = &[model.LatencyBuckets]float64{}
		t.oldLatencies[s.Route] = histogram
	}
	for i, n := range s.Latency {
		histogram[i] += float64(n)
	}
}

func (t *slowCallTest) addNewCalls(s *model.KeyedSum) {
	median, ok := t.oldMedianBucket(s.Route)
	if !ok {
		return
	}
	slow := 0
	for i := median + slowBucketDistance; i < model.LatencyBuckets; i++ {
		slow += int(s.Latency[i])
	}
	calls := int(s.Calls)
	t.calls += calls
	t.slowCalls += slow
	t.evidence += float64(slow)*math.Log(badSlowFraction/toleratedSlowFraction) +
		float64(calls-slow)*math.Log((1-badSlowFraction)/(1-toleratedSlowFraction))
	t.evidence = max(t.evidence, 0)
}

// oldMedianBucket returns the latency bucket of the old version's recent median on a route. It reports false if there are too
// few calls.
func (t *slowCallTest) oldMedianBucket(route model.RouteName) (int, bool) {
	histogram := t.oldLatencies[route]
	if histogram == nil {
		return 0, false
	}
	var total float64
	for _, n := range histogram {
		total += n
	}
	if total < minOldCalls {
		return 0, false
	}
	var cumulated float64
	for i, n := range histogram {
		if cumulated += n; cumulated >= total/2 {
			return i, true
		}
	}
	return model.LatencyBuckets - 1, true
}

func (t *slowCallTest) provesSlow() bool { return t.evidence >= evidenceThreshold }
