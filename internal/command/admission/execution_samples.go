package admission

import (
	"math"
	"time"
)

const (
	// recentSamples and lowSamples are the calls that are kept, of all and of those at low concurrency. recentSpacing and lowSpacing
	// are the least times between two of them, so that they cover some seconds at any rate.
	recentSamples = 256
	lowSamples    = 128
	recentSpacing = 8 * time.Millisecond
	lowSpacing    = 50 * time.Millisecond
	// minSamples is the number of calls for a comparison.
	minSamples = 12
	// highWindow is the time over which calls at high concurrency are compared, and maxHighWindow the time in which minSamples of
	// them must have ended. They must cover minLowerSpan before a lower limit is tried: machines are slow for 0.6 s at a time, and the
	// target is not to be taken for overloaded because of one or two such times. For a higher limit minHigherSpan is enough.
	highWindow    = 3 * time.Second
	minLowerSpan  = 2500 * time.Millisecond
	minHigherSpan = 500 * time.Millisecond
	maxHighWindow = 6 * time.Second
	// lowWindow is the greatest age of a call at low concurrency.
	lowWindow = time.Minute
	// 1/kindWeight is the weight of one call in the mean of its kind.
	kindWeight = 50
)

// kindMean is the moving average of the logarithm of the execution times of a kind.
type kindMean struct{ log float64 }

// executionSample is a call that has ended. Running is the number of calls that ran when it ended, peak the most that ran at the same
// time as it.
type executionSample struct {
	kind          *kindMean
	took          time.Duration
	at            time.Time
	running, peak int
}

func (s *executionSample) start() time.Time { return s.at.Add(-s.took) }

// relative returns the logarithm of the execution time, relative to the kind.
func (s *executionSample) relative() float64 { return math.Log(float64(s.took)) - s.kind.log }

// sampleRing holds the latest samples that are at least spacing apart.
type sampleRing struct {
	samples []executionSample
	next    int
	lastAt  time.Time
}

func (r *sampleRing) add(s executionSample, size int, spacing time.Duration) {
	if s.at.Sub(r.lastAt) < spacing {
		return
	}
	r.lastAt = s.at
	if len(r.samples) < size {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % size
}

// executionSamples holds recent calls. The zero value is empty.
type executionSamples struct {
	kinds       map[string]*kindMean
	recent, few sampleRing
	// lastAt holds, for each number of calls, when as many last ran, as far as that is over.
	lastAt []time.Time
}

// record adds a call that has ended. It reports false if the call says nothing: if it was given up before it took longer than usual.
func (e *executionSamples) record(now time.Time, ended *callEnded, slots int) (executionSample, bool) {
	took := max(ended.took, time.Microsecond)
	mean := e.kinds[ended.kind]
	logTime := math.Log(float64(took))
	s := executionSample{took: took, at: now, running: ended.running, peak: e.peak(now, now.Add(-took), ended.running)}
	if !ended.complete && (mean == nil || logTime < mean.log) {
		return s, false
	}
	if mean == nil {
		if e.kinds == nil {
			e.kinds = map[string]*kindMean{}
		}
		mean = &kindMean{logTime}
		e.kinds[ended.kind] = mean
	}
	mean.log += (logTime - mean.log) / kindWeight
	s.kind = mean
	e.recent.add(s, recentSamples, recentSpacing)
	if 2*s.peak <= slots {
		e.few.add(s, lowSamples, lowSpacing)
	}
	return s, true
}

// peak returns the largest number of calls that ran at the same time since start, and records that as many as running run until now.
func (e *executionSamples) peak(now, start time.Time, running int) int {
	for len(e.lastAt) <= running+1 {
		e.lastAt = append(e.lastAt, time.Time{})
	}
	e.lastAt[running] = now
	peak := running
	for peak+1 < len(e.lastAt) && e.lastAt[peak+1].After(start) {
		peak++
	}
	return peak
}

// high returns the latest calls that started after since and ended while at least running calls ran, or nil if there are too few.
func (e *executionSamples) high(now, since time.Time, running int) []executionSample {
	var high []executionSample
	n := len(e.recent.samples)
	for i := range n {
		// From the latest to the earliest.
		s := &e.recent.samples[(e.recent.next-1-i+2*n)%n]
		age := now.Sub(s.at)
		if age > highWindow && len(high) >= minSamples || age > maxHighWindow {
			break
		}
		if s.running >= running && !s.start().Before(since) {
			high = append(high, *s)
		}
	}
	if len(high) < minSamples || span(high) < minHigherSpan {
		return nil
	}
	return high
}

// span returns the time that samples in the order of high cover.
func span(samples []executionSample) time.Duration {
	return samples[0].at.Sub(samples[len(samples)-1].at)
}

// low returns the calls of the last minute beside which at most the given number ran, or nil if there are too few.
func (e *executionSamples) low(now time.Time, running int) []executionSample {
	var low []executionSample
	for i := range e.few.samples {
		if s := &e.few.samples[i]; s.peak <= running && now.Sub(s.at) <= lowWindow {
			low = append(low, *s)
		}
	}
	if len(low) < minSamples {
		return nil
	}
	return low
}
