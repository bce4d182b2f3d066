// Package openloop sends calls to an address in an open loop: arrivals do not wait for earlier calls, and latency counts
// from the intended start, so that a stall shows in the percentiles.
package openloop

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Histograms reach one minute in microseconds with three digits.
const (
	maxMicros = int64(time.Minute / time.Microsecond)
	digits    = 3
)

// Options describe one run.
type Options struct {
	// URL is called with GET.
	URL string
	// Rate is the number of calls per second, with exponential gaps drawn from Seed.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Workers bounds calls in flight. A call that finds no free worker starts late, and its latency shows it.
	Workers int
	// Deadline of each call; 0 means none.
	Deadline time.Duration
	// Header is sent with each call.
	Header http.Header
}

// Result sums a run.
type Result struct {
	Sent, Good, Failed int64
	Latency            *hdrhistogram.Histogram // microseconds, of good calls
	Elapsed            time.Duration
}

// Micros returns a latency quantile (0 to 100) in microseconds.
func (r Result) Micros(quantile float64) float64 { return float64(r.Latency.ValueAtQuantile(quantile)) }

// Add adds another run with the same options.
func (r *Result) Add(o Result) {
	if r.Latency == nil {
		r.Latency = hdrhistogram.New(1, maxMicros, digits)
	}
	r.Latency.Merge(o.Latency)
	r.Sent, r.Good, r.Failed, r.Elapsed = r.Sent+o.Sent, r.Good+o.Good, r.Failed+o.Failed, r.Elapsed+o.Elapsed
}

// Client returns an HTTP client with enough idle connections for the workers.
func Client(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: workers, MaxIdleConnsPerHost: workers, DisableCompression: true,
	}}
}

// Run performs an open loop. It returns an error only if the URL is invalid.
func Run(ctx context.Context, client *http.Client, o Options) (Result, error) {
	if _, err := http.NewRequest(http.MethodGet, o.URL, nil); err != nil {
		return Result{}, errors.Wrap(err, "load URL")
	}
	// Exponential gaps give the expected number of arrivals and a few standard deviations.
	expected := o.Rate * o.Duration.Seconds()
	arrivals := make(chan time.Time, int(expected+10*math.Sqrt(expected))+o.Workers)
	sums := newSums()
	var wg sync.WaitGroup
	for range o.Workers {
		wg.Go(func() {
			for intended := range arrivals {
				sums.add(ctx, client, o, intended)
			}
		})
	}
	start := time.Now()
	schedule(ctx, o, start, arrivals)
	close(arrivals)
	wg.Wait()
	return Result{
		Sent: sums.sent.Load(), Good: sums.good.Load(), Failed: sums.sent.Load() - sums.good.Load(),
		Latency: sums.latency, Elapsed: time.Since(start),
	}, nil
}

// schedule sends the intended start times. It sleeps on a thread of its own, because the timers of the Go runtime are
// about 1 ms late, which would hide the added latency.
func schedule(ctx context.Context, o Options, start time.Time, arrivals chan<- time.Time) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	random := rand.New(rand.NewPCG(o.Seed, 0))
	next, end := start, start.Add(o.Duration)
	for ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		if wait := time.Until(next); wait > minSleep {
			pause := syscall.NsecToTimespec(int64(wait))
			_ = syscall.Nanosleep(&pause, nil) // an interrupted sleep only sends the call early by its rest
		}
		arrivals <- next // has room for all arrivals
	}
}

// minSleep is about the accuracy of the kernel's sleep.
const minSleep = 50 * time.Microsecond

type sums struct {
	sent, good atomic.Int64
	mu         sync.Mutex
	latency    *hdrhistogram.Histogram
}

func newSums() *sums { return &sums{latency: hdrhistogram.New(1, maxMicros, digits)} }

func (s *sums) add(ctx context.Context, client *http.Client, o Options, intended time.Time) {
	n := s.sent.Add(1)
	if o.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, intended.Add(o.Deadline))
		defer cancel()
	}
	if !call(ctx, client, o, n) {
		return
	}
	s.good.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.latency.RecordValue(min(max(time.Since(intended).Microseconds(), 1), maxMicros)) // in range by the bounds
}

// call reports whether the response was complete, successful and the one to this request.
func call(ctx context.Context, client *http.Client, o Options, n int64) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.URL, nil)
	if err != nil {
		return false
	}
	for name, values := range o.Header {
		request.Header[name] = values
	}
	id := strconv.FormatInt(n, 10)
	request.Header["X-Request-Id"] = []string{id}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err == nil && response.StatusCode == http.StatusOK && response.Header.Get("X-Request-Id") == id
}

// Closed sends calls from workers that each wait for their response, and returns the good calls per second: the
// capacity of what is called.
func Closed(ctx context.Context, client *http.Client, o Options) (float64, error) {
	if _, err := http.NewRequest(http.MethodGet, o.URL, nil); err != nil {
		return 0, errors.Wrap(err, "load URL")
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	sums := newSums()
	var wg sync.WaitGroup
	start := time.Now()
	for range o.Workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				sums.add(ctx, client, o, time.Now())
			}
		})
	}
	wg.Wait()
	return float64(sums.good.Load()) / time.Since(start).Seconds(), nil
}
