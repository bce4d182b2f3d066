// Package openloop sends calls to a URL in an open loop: arrivals do not wait for earlier calls, and latency is measured
// from the intended start of a call, so that the percentiles include stalls.
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

// Histograms record up to one minute, in microseconds, with three significant digits.
const (
	maxMicros         = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Options describe one run.
type Options struct {
	// URL is called with GET.
	URL string
	// Rate is the number of calls per second, with exponential gaps drawn from Seed.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Workers bounds the calls in flight. A call that finds no free worker starts late; its latency includes the delay.
	Workers int
	// Deadline of each call; 0 means none.
	Deadline time.Duration
	// Header is sent with each call.
	Header http.Header
}

// Result sums up one run.
type Result struct {
	Sent, Good, Failed int64
	Latency            *hdrhistogram.Histogram // microseconds, of good calls
	Elapsed            time.Duration
}

// LatencyMicros returns a latency percentile (0 to 100) in microseconds.
func (r Result) LatencyMicros(percentile float64) float64 {
	return float64(r.Latency.ValueAtQuantile(percentile))
}

// Add adds the result of another run with the same options.
func (r *Result) Add(o Result) {
	if r.Latency == nil {
		r.Latency = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	r.Latency.Merge(o.Latency)
	r.Sent, r.Good, r.Failed, r.Elapsed = r.Sent+o.Sent, r.Good+o.Good, r.Failed+o.Failed, r.Elapsed+o.Elapsed
}

// NewClient returns an HTTP client that keeps enough idle connections for the workers.
func NewClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: workers, MaxIdleConnsPerHost: workers, DisableCompression: true,
	}}
}

// Run sends calls in an open loop. It returns an error only if the URL is invalid.
func Run(ctx context.Context, client *http.Client, o Options) (Result, error) {
	if _, err := http.NewRequest(http.MethodGet, o.URL, nil); err != nil {
		return Result{}, errors.Wrap(err, "load URL")
	}
	// The buffer has room for all arrivals: with exponential gaps the standard deviation of their number is the square root
	// of the expected number, and the number exceeds the expected one by a few standard deviations at most.
	expected := o.Rate * o.Duration.Seconds()
	arrivals := make(chan time.Time, int(expected+10*math.Sqrt(expected))+o.Workers)
	recorder := newRecorder()
	var wg sync.WaitGroup
	for range o.Workers {
		wg.Go(func() {
			for intended := range arrivals {
				recorder.sendCall(ctx, client, o, intended)
			}
		})
	}
	start := time.Now()
	scheduleArrivals(ctx, o, start, arrivals)
	close(arrivals)
	wg.Wait()
	return Result{
		Sent: recorder.sent.Load(), Good: recorder.good.Load(), Failed: recorder.sent.Load() - recorder.good.Load(),
		Latency: recorder.latency, Elapsed: time.Since(start),
	}, nil
}

// scheduleArrivals sends the intended start time of each call when it is due. It sleeps on a thread of its own, because
// the timers of the Go runtime are about 1 ms late, which would hide the added latency.
func scheduleArrivals(ctx context.Context, o Options, start time.Time, arrivals chan<- time.Time) {
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
			_ = syscall.Nanosleep(&pause, nil) // if interrupted, the call is sent early by the rest of the sleep
		}
		arrivals <- next // has room for all arrivals
	}
}

// minSleep is the longest wait that is skipped; it is about the accuracy of the kernel's sleep.
const minSleep = 50 * time.Microsecond

// recorder counts the calls of a run and records the latencies of the good ones.
type recorder struct {
	sent, good atomic.Int64
	mu         sync.Mutex
	latency    *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{latency: hdrhistogram.New(1, maxMicros, significantDigits)}
}

// sendCall sends a call and records its outcome. The deadline and the latency count from the intended start.
func (r *recorder) sendCall(ctx context.Context, client *http.Client, o Options, intended time.Time) {
	n := r.sent.Add(1)
	if o.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, intended.Add(o.Deadline))
		defer cancel()
	}
	if !sendRequest(ctx, client, o, n) {
		return
	}
	r.good.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The value is within the range of the histogram.
	_ = r.latency.RecordValue(min(max(time.Since(intended).Microseconds(), 1), maxMicros))
}

// sendRequest sends one request and reports whether its response was complete, successful and the one to this request.
func sendRequest(ctx context.Context, client *http.Client, o Options, n int64) bool {
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

// RunClosedLoop sends calls from workers that each wait for their response, and returns the good calls per second, which
// is the capacity behind the URL.
func RunClosedLoop(ctx context.Context, client *http.Client, o Options) (float64, error) {
	if _, err := http.NewRequest(http.MethodGet, o.URL, nil); err != nil {
		return 0, errors.Wrap(err, "load URL")
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	recorder := newRecorder()
	var wg sync.WaitGroup
	start := time.Now()
	for range o.Workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				recorder.sendCall(ctx, client, o, time.Now())
			}
		})
	}
	wg.Wait()
	return float64(recorder.good.Load()) / time.Since(start).Seconds(), nil
}
