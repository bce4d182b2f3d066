package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeResponse writes the response of a stand-in target.
func writeResponse(w http.ResponseWriter, header, request, version string, pad int) {
	w.Header().Set("X-Request-Id", header)
	w.Header().Set("Standin-Version", "v1")
	_, _ = fmt.Fprintf(w, `{"request":%q,"version":%q,"pad":%q}`, request, version, strings.Repeat("x", pad))
}

// Guards against a faulty response that is counted as a good one, or as a fault of another kind.
func TestFaultsAreCounted(t *testing.T) {
	const calls, size = 6, 64
	cases := []struct {
		name    string
		handler func(w http.ResponseWriter, id string)
		counter func(Result) int
		reason  string
	}{
		{"nothing wrong", func(w http.ResponseWriter, id string) { writeResponse(w, id, id, "v1", size) },
			func(r Result) int { return r.Good }, ""},
		{"body of another request", func(w http.ResponseWriter, id string) { writeResponse(w, id, id+"0", "v1", size) },
			func(r Result) int { return r.Wrong }, "wrong: request"},
		{"header of another request", func(w http.ResponseWriter, id string) { writeResponse(w, id+"0", id, "v1", size) },
			func(r Result) int { return r.Wrong }, "wrong: request"},
		{"version that contradicts itself", func(w http.ResponseWriter, id string) { writeResponse(w, id, id, "v2", size) },
			func(r Result) int { return r.Wrong }, "wrong: version"},
		{"whole JSON that is too short", func(w http.ResponseWriter, id string) { writeResponse(w, id, id, "v1", 0) },
			func(r Result) int { return r.Cut }, "cut: short body"},
		{"body that ends early", func(w http.ResponseWriter, id string) {
			w.Header().Set("Content-Length", "1000")
			writeResponse(w, id, id, "v1", size)
		}, func(r Result) int { return r.Cut }, "cut: connection closed"},
		{"connection closed without a response", func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) },
			func(r Result) int { return r.Lost }, "lost: connection closed"},
		{"error of the target", func(w http.ResponseWriter, id string) {
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("Standin-Version", "v1")
			w.WriteHeader(http.StatusInternalServerError)
			writeResponse(w, id, id, "v1", size)
		}, func(r Result) int { return r.Failed }, "failed: Internal Server Error"},
		{"refusal of a daemon", func(w http.ResponseWriter, _ string) {
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"reason":"draining","executed":"no"}`))
		}, func(r Result) int { return r.Refused }, "refused: draining executed=no"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.handler(w, r.Header.Get("X-Request-Id"))
			}))
			defer server.Close()
			result, err := Run(t.Context(), Config{Ingress: []string{server.Listener.Addr().String()}, Paths: []string{"/a", "/b"},
				Rate: MaxRate, Calls: calls, Bytes: size, Deadline: time.Minute})
			is.NoErr(err)
			is.Equal(result.Calls, calls)
			is.Equal(c.counter(result), calls)
			if c.reason != "" {
				is.Equal(result.Reasons, map[string]int{c.reason: calls})
			} else {
				is.Equal(result.Versions["/a"]["v1"].Calls, calls/2)
			}
		})
	}
}

// Guards against an interrupt that aborts calls in flight, so that they are counted as faults of the system.
func TestInterruptWaitsForCallsInFlight(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cancel()
		<-ctx.Done()
		id := r.Header.Get("X-Request-Id")
		writeResponse(w, id, id, "v1", 64)
	}))
	defer server.Close()
	result, err := Run(ctx, Config{Ingress: []string{server.Listener.Addr().String()}, Paths: []string{"/a"},
		Rate: 1, Calls: 1000, Bytes: 64, Deadline: time.Minute})
	is.NoErr(err)
	is.Equal(result.Calls, result.Good)
	is.Equal(result.Calls, 1)
}
