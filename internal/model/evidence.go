package model

import (
	"math"
	"time"
)

// OutcomeKey identifies an OutcomeSum: the calls of one version on one route.
type OutcomeKey struct {
	Service ServiceName
	Route   RouteName
	Version VersionName
}

const (
	// LatencyBuckets is the number of latency buckets in an OutcomeSum.
	LatencyBuckets = 24
	// latencyBase is the upper bound of the first bucket.
	latencyBase = 250 * time.Microsecond
	// latencyGrowth is the ratio of neighbouring bucket bounds; 24 buckets then reach about 11 s.
	latencyGrowth = 1.6
)

// OutcomeSum counts calls, failures and latencies as seen by the callers. Calls that were refused before execution or
// cancelled by the caller are not counted, since they say nothing about the version.
type OutcomeSum struct {
	Calls    uint32
	Failures uint32
	// Latency counts calls by bucket, see LatencyBucket.
	Latency [LatencyBuckets]uint32
}

// LatencyBucket returns the index of the bucket that a latency falls into.
func LatencyBucket(d time.Duration) int {
	if d <= latencyBase {
		return 0
	}
	b := int(math.Ceil(math.Log(float64(d)/float64(latencyBase)) / math.Log(latencyGrowth)))
	return min(b, LatencyBuckets-1)
}

var latencyBounds = func() (bounds [LatencyBuckets]time.Duration) {
	for i := range bounds {
		bounds[i] = time.Duration(float64(latencyBase) * math.Pow(latencyGrowth, float64(i)))
	}
	return bounds
}()

// LatencyBound returns the upper bound of a bucket.
func LatencyBound(bucket int) time.Duration { return latencyBounds[bucket] }

// Add adds the counts of another sum.
func (s *OutcomeSum) Add(o OutcomeSum) {
	s.Calls += o.Calls
	s.Failures += o.Failures
	for i := range s.Latency {
		s.Latency[i] += o.Latency[i]
	}
}

// Since returns the difference between the sum and an earlier state of the same sum.
func (s *OutcomeSum) Since(earlier OutcomeSum) OutcomeSum {
	since := OutcomeSum{Calls: s.Calls - earlier.Calls, Failures: s.Failures - earlier.Failures}
	for i := range since.Latency {
		since.Latency[i] = s.Latency[i] - earlier.Latency[i]
	}
	return since
}

// Observe counts one call.
func (s *OutcomeSum) Observe(failed bool, latency time.Duration) {
	s.Calls++
	if failed {
		s.Failures++
	}
	s.Latency[LatencyBucket(latency)]++
}

// MeanLatency estimates the mean latency from the buckets: each call counts as the geometric mean of its bucket's bounds.
func (s *OutcomeSum) MeanLatency() time.Duration {
	if s.Calls == 0 {
		return 0
	}
	var sum float64
	for i, n := range s.Latency {
		sum += float64(n) * float64(latencyBase) * math.Pow(latencyGrowth, float64(i)-0.5)
	}
	return time.Duration(sum / float64(s.Calls))
}

// KeyedSum is an OutcomeSum with its key.
type KeyedSum struct {
	OutcomeKey
	OutcomeSum
}

// Evidence holds the outcomes that the daemons of one data centre reported for one time window.
type Evidence struct {
	DataCentre DataCentre
	From, To   time.Time
	Sums       []KeyedSum
}
