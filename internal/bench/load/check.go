package load

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// kind classifies the outcome of a call.
type kind int

const (
	good    kind = iota
	failed       // a complete response of the target with an error status
	refused      // a problem document of a daemon
	lost         // no response at all
	cut          // a response whose body ended early
	wrong        // a complete response that belongs to another request or contradicts itself
	unsent       // not sent, since too many calls were in flight
)

type outcome struct {
	path    string
	kind    kind
	version string
	reason  string
	latency time.Duration
}

// body is the response body of a stand-in target.
type body struct {
	Request string `json:"request"`
	Version string `json:"version"`
}

// problem holds the fields of a problem document by which refusals are counted.
type problem struct {
	Reason   string `json:"reason"`
	Executed string `json:"executed"`
}

// classify sets the kind and reason of an outcome. A response is good only if it is complete and belongs to the request.
func (o *outcome) classify(r *http.Response, id string, size int) {
	content, err := io.ReadAll(io.LimitReader(r.Body, 2*MaxBytes))
	if err != nil {
		o.kind, o.reason = cut, reasonOf(err)
		return
	}
	if strings.HasPrefix(r.Header.Get("Content-Type"), "application/problem+json") {
		o.classifyRefusal(content)
		return
	}
	var b body
	o.version = r.Header.Get("Standin-Version")
	switch err := json.Unmarshal(content, &b); {
	case err != nil || len(content) < size:
		o.kind, o.reason = cut, "short body"
	case b.Request != id || r.Header.Get("X-Request-Id") != id:
		o.kind, o.reason = wrong, "request"
	case b.Version == "" || b.Version != o.version:
		o.kind, o.reason = wrong, "version"
	case r.StatusCode != http.StatusOK:
		o.kind, o.reason = failed, http.StatusText(r.StatusCode)
	}
}

func (o *outcome) classifyRefusal(content []byte) {
	var p problem
	if err := json.Unmarshal(content, &p); err != nil || p.Reason == "" {
		o.kind, o.reason = wrong, "problem document"
		return
	}
	o.kind, o.reason = refused, p.Reason+" executed="+p.Executed
}

func reasonOf(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
		return "connection closed"
	}
	return "other"
}

// VersionCounts counts the responses of one version.
type VersionCounts struct {
	Calls  int `json:"calls"`
	Failed int `json:"failed"`
}

// Result counts the outcomes of a load. Calls is the sum of Good, Failed, Refused, Lost, Cut and Wrong.
type Result struct {
	Calls   int `json:"calls"`
	Good    int `json:"good"`
	Failed  int `json:"failed"`
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
	Cut     int `json:"cut"`
	Wrong   int `json:"wrong"`
	// Unsent counts calls that were not sent, because too many calls were in flight when they were due.
	Unsent int `json:"unsent"`
	// Versions counts complete responses by path and version.
	Versions map[string]map[string]*VersionCounts `json:"versions"`
	// Reasons counts the calls that were not good, by kind and reason.
	Reasons map[string]int `json:"reasons"`
	Seconds float64        `json:"seconds"`
	// Latencies are in milliseconds from the time at which a call was due to the end of its response.
	P50 float64 `json:"p50Milliseconds"`
	P99 float64 `json:"p99Milliseconds"`
	Max float64 `json:"maxMilliseconds"`
}

// maxLatencyMicroseconds is the highest latency that the histogram records; it keeps three significant digits.
const maxLatencyMicroseconds = 60_000_000

// collect sums up outcomes until the channel is closed.
func collect(outcomes <-chan outcome) Result {
	r := Result{Versions: map[string]map[string]*VersionCounts{}, Reasons: map[string]int{}}
	histogram := hdrhistogram.New(1, maxLatencyMicroseconds, 3)
	for o := range outcomes {
		r.add(o)
		if o.kind == good {
			_ = histogram.RecordValue(min(o.latency.Microseconds(), maxLatencyMicroseconds))
		}
	}
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1e3 }
	r.P50 = milliseconds(histogram.ValueAtQuantile(50))
	r.P99 = milliseconds(histogram.ValueAtQuantile(99))
	r.Max = milliseconds(histogram.Max())
	return r
}

func (r *Result) add(o outcome) {
	if o.kind == unsent {
		r.Unsent++
		return
	}
	r.Calls++
	counter, name := r.counter(o.kind)
	*counter++
	if o.kind != good {
		r.Reasons[name+": "+o.reason]++
	}
	if o.kind != good && o.kind != failed {
		return
	}
	if r.Versions[o.path] == nil {
		r.Versions[o.path] = map[string]*VersionCounts{}
	}
	counts := r.Versions[o.path][o.version]
	if counts == nil {
		counts = &VersionCounts{}
		r.Versions[o.path][o.version] = counts
	}
	counts.Calls++
	if o.kind == failed {
		counts.Failed++
	}
}

func (r *Result) counter(k kind) (counter *int, name string) {
	switch k {
	case good:
		return &r.Good, "good"
	case failed:
		return &r.Failed, "failed"
	case refused:
		return &r.Refused, "refused"
	case lost:
		return &r.Lost, "lost"
	case cut:
		return &r.Cut, "cut"
	case wrong:
		return &r.Wrong, "wrong"
	}
	panic(errors.Errorf("outcome of kind %d has no counter", k))
}
