// Package overload measures goodput above capacity, through the daemons and through a naive balancer.
package overload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/bench/openloop"
	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/standin/target"
	"sniperail.example/sniperail/internal/traffic"
)

// Options describe a measurement.
type Options struct {
	// Targets, Slots and Latency give the capacity: Targets*Slots/Latency; 4, 8 and 20 ms if zero.
	Targets, Slots int
	Latency        time.Duration
	// Deadline of each call; 250 ms if zero.
	Deadline time.Duration
	// Factors are multiples of the measured capacity; 2 and 5 if empty.
	Factors  []float64
	Duration time.Duration
	Seed     uint64
	// Workers bounds calls in flight; 4000 if zero.
	Workers int
}

// Row holds the figures for one factor and one way to the targets.
type Row struct {
	// Way is "sniperail" (through the daemons) or "naive" (through the naive balancer).
	Way    string
	Factor float64
	// Offered and Goodput are calls per second; Part is Goodput as a fraction of the measured capacity.
	Offered, Goodput, Part float64
	// Wasted is the fraction of the executions whose caller received no good response.
	Wasted     float64
	Executions int
	P99Micros  float64
}

// String formats a row as one line.
func (r Row) String() string {
	return fmt.Sprintf("way=%s factor=%.1f offered=%.0f/s goodput=%.0f/s part=%.1f%% wasted=%.1f%% executions=%d p99=%.0fus",
		r.Way, r.Factor, r.Offered, r.Goodput, r.Part*100, r.Wasted*100, r.Executions, r.P99Micros)
}

func (o Options) withDefaults() Options {
	if o.Targets == 0 {
		o.Targets = 4
	}
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Latency == 0 {
		o.Latency = 20 * time.Millisecond
	}
	if o.Deadline == 0 {
		o.Deadline = 250 * time.Millisecond
	}
	if len(o.Factors) == 0 {
		o.Factors = []float64{2, 5}
	}
	if o.Duration == 0 {
		o.Duration = 5 * time.Second
	}
	if o.Workers == 0 {
		o.Workers = 4000
	}
	return o
}

// Run measures goodput through the daemons and through the naive balancer at each factor. The capacity is the rate of
// good calls in a closed loop through the daemons with Slots+2 callers per target.
func Run(ctx context.Context, o Options) ([]Row, error) {
	o = o.withDefaults()
	defer debug.SetGCPercent(debug.SetGCPercent(traffic.GCPercent))
	var configs []target.Config
	for i := range o.Targets {
		configs = append(configs, target.Config{
			Name: fmt.Sprint("t", i), Version: "v1", Slots: o.Slots, Queue: 10 * o.Slots, Latency: o.Latency,
			Seed: o.Seed + uint64(i), Bad: target.BadNone, ColdFactor: 1, AnswerBytes: 1 << 10,
		})
	}
	mesh, err := openloop.NewMesh(admission.Settings{Slots: o.Slots, Connections: 10 * o.Slots, Queue: o.Slots}, configs...)
	if err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	defer mesh.Close()
	naive, err := newNaiveBalancer(mesh.TargetURLs, o.Workers)
	if err != nil {
		return nil, err
	}
	defer naive.close()
	client := openloop.NewClient(o.Workers)
	defer client.CloseIdleConnections()
	before := mesh.Executions()
	peak, err := openloop.RunClosedLoop(ctx, client, openloop.Options{
		URL: mesh.IngressURL + "/c", Duration: o.Duration / 2, Workers: o.Targets * (o.Slots + 2),
	})
	if err != nil {
		return nil, errors.Wrap(err, "capacity")
	}
	rows := []Row{{Way: "sniperail", Factor: 1, Offered: peak, Goodput: peak, Part: 1, Executions: mesh.Executions() - before}}
	for _, factor := range o.Factors {
		for _, way := range []struct{ name, url string }{{"sniperail", mesh.IngressURL}, {"naive", naive.url}} {
			row, err := measureRow(ctx, o, client, mesh, way.url+"/c", peak, factor)
			if err != nil {
				return rows, err
			}
			row.Way = way.name
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// measureRow sends an open loop at a multiple of the peak rate to a URL.
func measureRow(
	ctx context.Context, o Options, client *http.Client, mesh *openloop.Mesh, url string, peak, factor float64,
) (Row, error) {
	before := mesh.Executions()
	result, err := openloop.Run(ctx, client, openloop.Options{
		URL: url, Rate: peak * factor, Duration: o.Duration, Seed: o.Seed, Workers: o.Workers, Deadline: o.Deadline,
		Header: http.Header{"Sniperail-Deadline-Ms": {fmt.Sprint(o.Deadline.Milliseconds())}},
	})
	if err != nil {
		return Row{}, errors.Wrap(err, "load")
	}
	executions := mesh.Executions() - before
	goodput := float64(result.Good) / o.Duration.Seconds()
	return Row{
		Factor: factor, Offered: float64(result.Sent) / o.Duration.Seconds(), Goodput: goodput, Part: goodput / peak,
		Wasted: 1 - float64(result.Good)/float64(max(executions, 1)), Executions: executions, P99Micros: result.LatencyMicros(99),
	}, nil
}

// naiveBalancer sends calls to the targets round-robin and retries every failure.
type naiveBalancer struct {
	targets []string
	client  *http.Client
	next    atomic.Uint64
	url     string
	server  *http.Server
}

const maxAttempts = 3

func newNaiveBalancer(targets []string, workers int) (*naiveBalancer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	n := &naiveBalancer{targets: targets, client: openloop.NewClient(workers), url: "http://" + listener.Addr().String()}
	n.server = &http.Server{Handler: n, ReadHeaderTimeout: time.Second}
	go func() { _ = n.server.Serve(listener) }() // ends with close
	return n, nil
}

func (n *naiveBalancer) close() {
	_ = n.server.Close()
	n.client.CloseIdleConnections()
}

// ServeHTTP tries up to three targets, whatever the kind of failure.
func (n *naiveBalancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for range maxAttempts {
		target := n.targets[n.next.Add(1)%uint64(len(n.targets))]
		request, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.RequestURI(), nil)
		if err != nil {
			break
		}
		request.Header = r.Header.Clone()
		response, err := n.client.Do(request)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode >= http.StatusInternalServerError {
			continue
		}
		w.Header().Set(requestIDHeader, response.Header.Get(requestIDHeader))
		_, _ = w.Write(body)
		return
	}
	w.WriteHeader(http.StatusBadGateway)
}

const requestIDHeader = target.HeaderRequest
