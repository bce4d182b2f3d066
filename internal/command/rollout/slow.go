package rollout

import (
	"math"

	"sniperail.example/sniperail/internal/model"
)

const (
	// slowBuckets is how many latency buckets, each a factor of 1.6, above the old version's median a call counts as very
	// slow: at least four times the median.
	slowBuckets = 4
	// oldDecay forgets the old version's calls with a half-life of about seven rounds, so that a fault that slows both
	// versions moves the median.
	oldDecay = 0.9
	// leastOld is the number of recent calls of the old version that a median needs.
	leastOld = 15
	// toleratedSlow is the part of very slow calls of a good version: its targets may be half as fast as those of the old
	// one. badSlow is the part that the test looks for.
	toleratedSlow = 0.11
	badSlow       = 0.35
	// slowBound is the logarithm of the evidence that proves a version slow.
	slowBound = 6.9
)

// slowTest counts the very slow calls of the new version. The comparison of package moves ranks the calls of both versions
// together, which shows little when a part of the calls of the version that has most calls is slow.
type slowTest struct {
	old map[model.RouteName]*[model.LatencyBuckets]float64
	// evidence is the log-likelihood ratio since it was last 0, so that a fault may begin at any time.
	evidence    float64
	calls, slow int
}

func newSlowTest() *slowTest {
	return &slowTest{old: map[model.RouteName]*[model.LatencyBuckets]float64{}}
}

// observe adds the outcomes of one round.
func (t *slowTest) observe(m *model.Move, observations []Observation) {
	for _, h := range t.old {
		for i := range h {
			h[i] *= oldDecay
		}
	}
	for i := range observations {
		for j := range observations[i].Sums {
			if s := &observations[i].Sums[j]; s.Version == m.From {
				t.addOld(s)
			}
		}
	}
	for i := range observations {
		for j := range observations[i].Sums {
			if s := &observations[i].Sums[j]; s.Version == m.To {
				t.addNew(s)
			}
		}
	}
}

func (t *slowTest) addOld(s *model.KeyedSum) {
	h := t.old[s.Route]
	if h == nil {
		h = &[model.LatencyBuckets]float64{}
		t.old[s.Route] = h
	}
	for i, n := range s.Latency {
		h[i] += float64(n)
	}
}

func (t *slowTest) addNew(s *model.KeyedSum) {
	median, ok := t.median(s.Route)
	if !ok {
		return
	}
	slow := 0
	for i := median + slowBuckets; i < model.LatencyBuckets; i++ {
		slow += int(s.Latency[i])
	}
	calls := int(s.Calls)
	t.calls += calls
	t.slow += slow
	t.evidence += float64(slow)*math.Log(badSlow/toleratedSlow) +
		float64(calls-slow)*math.Log((1-badSlow)/(1-toleratedSlow))
	t.evidence = max(t.evidence, 0)
}

// median returns the bucket of the old version's recent median on a route.
func (t *slowTest) median(route model.RouteName) (int, bool) {
	h := t.old[route]
	if h == nil {
		return 0, false
	}
	var total float64
	for _, n := range h {
		total += n
	}
	if total < leastOld {
		return 0, false
	}
	var seen float64
	for i, n := range h {
		if seen += n; seen >= total/2 {
			return i, true
		}
	}
	return model.LatencyBuckets - 1, true
}

func (t *slowTest) bad() bool { return t.evidence >= slowBound }
