// Package target is a stand-in for a customer's back end: it has slots, connections, latency, a cold start, draining, load
// shedding and configurable faults. Tests, the demo and measurements use it.
package target

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sniperail.example/sniperail/internal/process"
)

// Kinds of faults of a target.
const (
	BadNone = "none"
	BadFail = "fail"
	BadSlow = "slow"
)

// slowFactor is the factor by which the fault BadSlow increases the service time of a call.
const slowFactor = 20

// Headers of responses.
const (
	// HeaderRequest is copied from the request, so that a checker can detect the response to another request.
	HeaderRequest = "X-Request-Id"
	HeaderVersion = "Standin-Version"
	HeaderTarget  = "Standin-Target"
)

// Config describes a target.
type Config struct {
	Name    string
	Version string
	// Slots is the number of calls executed at the same time, Queue the number of calls that may wait. Further calls are
	// shed.
	Slots, Queue int
	// Latency is the service time. If Spread is above 0, service times have a log-normal distribution with the median
	// Latency and Spread as the standard deviation of the logarithm.
	Latency time.Duration
	Spread  float64
	Seed    uint64
	// ColdStart is the time after the start during which calls take ColdFactor times as long.
	ColdStart  time.Duration
	ColdFactor float64
	// Bad is the kind of fault. It affects the fraction BadShare of the calls that start at least BadAfter after the start of
	// the target, with more than BadAboveLoad calls in flight and on a path with the prefix BadRoute.
	Bad          string
	BadAfter     time.Duration
	BadAboveLoad int
	BadRoute     string
	BadShare     float64
	// AnswerBytes is the size of responses without a bytes parameter.
	AnswerBytes int
}

// Problems returns a message for each invalid field.
func (c Config) Problems() []string {
	var problems []string
	check := func(ok bool, flag string, value any, allowed string) {
		if !ok {
			problems = append(problems, fmt.Sprintf("%s=%v: must be %s", flag, value, allowed))
		}
	}
	check(c.Slots >= 1, "--slots", c.Slots, "at least 1")
	check(c.Queue >= 0, "--queue", c.Queue, "0 or more")
	check(c.Latency >= 0, "--latency", c.Latency, "0 or more")
	check(c.Spread >= 0 && c.Spread <= 3, "--spread", c.Spread, "from 0 to 3")
	check(c.ColdStart >= 0, "--cold-start", c.ColdStart, "0 or more")
	check(c.ColdFactor >= 1, "--cold-factor", c.ColdFactor, "at least 1")
	check(c.Bad == BadNone || c.Bad == BadFail || c.Bad == BadSlow, "--bad", c.Bad, "none, fail or slow")
	check(c.BadAfter >= 0, "--bad-after", c.BadAfter, "0 or more")
	check(c.BadAboveLoad >= 0, "--bad-above-load", c.BadAboveLoad, "0 or more")
	check(c.BadShare >= 0 && c.BadShare <= 1, "--bad-share", c.BadShare, "from 0 to 1")
	check(c.BadRoute == "" || strings.HasPrefix(c.BadRoute, "/"), "--bad-route", c.BadRoute, "a path prefix that starts with /")
	check(c.AnswerBytes >= 0 && c.AnswerBytes <= maxResponseBytes, "--answer-bytes", c.AnswerBytes, "from 0 to 16777216")
	return problems
}

const maxResponseBytes = 16 << 20

// Target is a running stand-in.
type Target struct {
	config  Config
	started time.Time
	slots   chan struct{}
	counts  counts

	mu       sync.Mutex
	random   *rand.Rand
	waiting  int
	draining bool
}

// New returns a target that starts now.
func New(config Config) *Target {
	return &Target{
		config: config, started: time.Now(), slots: make(chan struct{}, config.Slots),
		random: rand.New(rand.NewPCG(config.Seed, 0)),
		counts: counts{Paths: map[string]int{}, Keys: map[string]int{}},
	}
}

// Drain sheds all later calls.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// ServeHTTP serves calls and the stand-in's own paths below /standin.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/counts":
		t.counts.writeJSON(w)
		return
	case "/standin/health":
		// The health endpoint does not show faults, because those of real back ends often do not show them either.
		_, _ = w.Write([]byte("ok\n"))
		return
	}
	if !t.acquire(r) {
		t.counts.recordShed()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	inFlight := len(t.slots)
	t.counts.recordExecution(r.URL.Path, r.Header.Get("Idempotency-Key"), inFlight)
	// The HTTP server detects that a caller has disconnected only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	latency, fail := t.sample(r.URL.Path, inFlight)
	if latency > 0 && !process.Wait(r.Context(), latency) {
		t.counts.recordCancelled()
		return
	}
	t.writeResponse(w, r, fail)
}

// acquire takes a slot, or waits for one if the queue is not full. It reports whether it got one.
func (t *Target) acquire(r *http.Request) bool {
	t.mu.Lock()
	if t.draining {
		t.mu.Unlock()
		return false
	}
	select {
	case t.slots <- struct{}{}:
		t.mu.Unlock()
		return true
	default:
	}
	if t.waiting >= t.config.Queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// sample returns the random service time of a call and whether the call fails.
func (t *Target) sample(path string, inFlight int) (time.Duration, bool) {
	latency := float64(t.config.Latency)
	if latency == 0 && t.config.Bad == BadNone {
		return 0, false
	}
	age := time.Since(t.started)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config.Spread > 0 {
		latency *= math.Exp(t.random.NormFloat64() * t.config.Spread)
	}
	if age < t.config.ColdStart {
		latency *= t.config.ColdFactor
	}
	bad := t.config.Bad != BadNone && age >= t.config.BadAfter && inFlight > t.config.BadAboveLoad &&
		strings.HasPrefix(path, t.config.BadRoute) && t.random.Float64() < t.config.BadShare
	if bad && t.config.Bad == BadSlow {
		latency = max(latency, float64(time.Millisecond)) * slowFactor
	}
	return time.Duration(latency), bad && t.config.Bad == BadFail
}

// writeResponse writes {"request":...,"version":...,"target":...,"pad":...}, padded to the requested size.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, fail bool) {
	size := t.config.AnswerBytes
	if r.URL.RawQuery != "" {
		if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 && n <= maxResponseBytes {
			size = n
		}
	}
	id := r.Header.Get(HeaderRequest)
	body := make([]byte, 0, size+len(id)+128)
	body = append(body, `{"request":`...)
	body = strconv.AppendQuote(body, id)
	body = append(body, `,"version":`...)
	body = strconv.AppendQuote(body, t.config.Version)
	body = append(body, `,"target":`...)
	body = strconv.AppendQuote(body, t.config.Name)
	body = append(body, `,"pad":"`...)
	for len(body) < size-2 {
		body = append(body, padding[:min(len(padding), size-2-len(body))]...)
	}
	body = append(body, `"}`...)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderVersion, t.config.Version)
	h.Set(HeaderTarget, t.config.Name)
	if id != "" {
		h.Set(HeaderRequest, id)
	}
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(body)
}

var padding = strings.Repeat("x", 4096)
