// Package once measures how many times requests with the same identity are executed while callers repeat their
// submissions, daemons die, and the platform is slow, unavailable or loses responses.
package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/claims"
	guard "sniperail.example/sniperail/internal/once"
	"sniperail.example/sniperail/internal/platform"
	"sniperail.example/sniperail/internal/process"
	standin "sniperail.example/sniperail/internal/standin/platform"
	"sniperail.example/sniperail/internal/store"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// Daemons is the number of guards, each with its own platform connection and gate.
	Daemons int
	// Identities is the number of distinct requests, Submissions the total number of submissions of them.
	Identities  int
	Submissions int
	// Callers is the number of concurrent submissions.
	Callers int
	// Deadline is the time that a request may take.
	Deadline time.Duration
	// Probabilities, in percent, that the daemon of an execution is killed, that its response is lost, and that its claim
	// is released without an execution. All other executions finish.
	KillPercent, LosePercent, ReleasePercent int
	// FaultEvery is the mean time between platform faults; 0 means none.
	FaultEvery time.Duration
}

// DefaultConfig returns a run of a few seconds.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed: seed, Daemons: 4, Identities: 400, Submissions: 4000, Callers: 64, Deadline: 2 * time.Second,
		KillPercent: 4, LosePercent: 3, ReleasePercent: 5, FaultEvery: 20 * time.Millisecond,
	}
}

// Report is the result of a run.
type Report struct {
	Seed        uint64         `json:"seed"`
	Submissions int            `json:"submissions"`
	Decisions   map[string]int `json:"decisions"`
	// Executions counts the requests that were dispatched, Executed the identities with at least one execution.
	Executions int `json:"executions"`
	Executed   int `json:"executed"`
	// MaxPerIdentity is the largest number of executions of one identity, Repeated the sum of the executions beyond one per
	// identity.
	MaxPerIdentity int `json:"max_per_identity"`
	Repeated       int `json:"repeated"`
	// WrongReplays counts replays of a response other than the one that the execution of the identity gave.
	WrongReplays int            `json:"wrong_replays"`
	Kills        int            `json:"kills"`
	Faults       map[string]int `json:"faults"`
	// Calls counts the calls that reached the platform.
	Calls map[store.Kind]int64 `json:"calls"`
	// Dropped counts the calls that got no response from the platform.
	Dropped int64   `json:"dropped"`
	Seconds float64 `json:"seconds"`
}

// experiment is the state of one run. The callers share it.
type experiment struct {
	config  Config
	service *standin.Service
	url     string

	mu         sync.Mutex
	daemons    []*daemon
	executions map[int]int
	responses  map[int]string
	report     Report
}

// daemon is a guard with its platform connection.
type daemon struct {
	guard  *guard.Guard
	client *platform.Client
}

// kill ends a daemon without storing the responses that it has not stored yet.
func (d *daemon) kill() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	d.guard.Close(cancelled)
	d.client.Close()
}

// Run submits requests and counts the executions per identity; the daemons reach the platform over loopback. The seed
// determines all random draws, but not the interleaving of the callers.
func Run(ctx context.Context, config Config) (Report, error) {
	if config.Daemons < 1 || config.Identities < 1 || config.Callers < 1 || config.Deadline <= 0 {
		return Report{}, errors.New("once: daemons, identities, callers and deadline must be above 0")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, stop, err := newExperiment(ctx, config)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	started := time.Now()
	faultsDone := make(chan struct{})
	faultCtx, endFaults := context.WithCancel(ctx)
	go func() { defer close(faultsDone); r.injectFaults(faultCtx) }()
	r.submitAll(ctx)
	endFaults()
	<-faultsDone
	r.report.Seconds = time.Since(started).Seconds()
	counts := r.service.Counts()
	r.report.Calls, r.report.Dropped = counts.Calls, counts.Dropped
	r.countExecutions()
	return r.report, ctx.Err()
}

func newExperiment(ctx context.Context, config Config) (*experiment, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen on loopback")
	}
	r := &experiment{
		config: config, service: standin.Start(ctx, standin.Limits{}), url: "http://" + listener.Addr().String(),
		executions: map[int]int{}, responses: map[int]string{},
		report: Report{Seed: config.Seed, Decisions: map[string]int{}, Faults: map[string]int{}},
	}
	server := &http.Server{Handler: r.service.Handler(), ReadHeaderTimeout: time.Minute}
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(listener) }()
	stop := func() {
		for _, d := range r.daemons {
			d.kill()
		}
		_ = server.Close()
		<-served
	}
	for i := range config.Daemons {
		d, err := r.newDaemon(i)
		if err != nil {
			stop()
			return nil, nil, err
		}
		r.daemons = append(r.daemons, d)
	}
	return r, stop, nil
}

func (r *experiment) newDaemon(i int) (*daemon, error) {
	client, err := platform.NewClient(platform.ClientConfig{Endpoints: []string{r.url}, Timeout: time.Second})
	if err != nil {
		return nil, err
	}
	gate, err := platform.NewGate(client, platform.GateConfig{
		WritesPerSecond: 200, WriteBurst: 100, ReadsPerSecond: 200, ReadBurst: 100,
		BackoffBase: 5 * time.Millisecond, BackoffMax: 50 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	limits := claims.DefaultConfig(fmt.Sprintf("daemon-%d", i))
	limits.MaxBytes = 64 << 20
	g, err := guard.NewGuard(gate, guard.Config{Claims: limits})
	return &daemon{guard: g, client: client}, err
}

// submitAll divides the submissions among the callers.
func (r *experiment) submitAll(ctx context.Context) {
	var callers sync.WaitGroup
	for caller := range r.config.Callers {
		random := rand.New(rand.NewPCG(r.config.Seed, uint64(caller)))
		n := r.config.Submissions / r.config.Callers
		if caller < r.config.Submissions%r.config.Callers {
			n++
		}
		callers.Go(func() {
			for range n {
				r.submitOne(ctx, random)
			}
		})
	}
	callers.Wait()
}

// maxRetryWait bounds the wait of a refused caller, which keeps a run short.
const maxRetryWait = 20 * time.Millisecond

// submitOne submits one request and records an execution if the decision of the guard allows it.
func (r *experiment) submitOne(ctx context.Context, random *rand.Rand) {
	identity, index := random.IntN(r.config.Identities), random.IntN(r.config.Daemons)
	percent := random.IntN(100)
	r.mu.Lock()
	d := r.daemons[index]
	r.mu.Unlock()
	decision := d.guard.Begin(ctx, fmt.Sprintf("identity-%d-%d", r.config.Seed, identity), time.Now().Add(r.config.Deadline))

	r.mu.Lock()
	r.report.Submissions++
	r.report.Decisions[fmt.Sprintf("%s %s", decision.Kind, decision.Reason)]++
	if decision.Kind == claims.Replay && (r.responses[identity] == "" || string(decision.Response.Body) != r.responses[identity]) {
		r.report.WrongReplays++
	}
	release := percent < r.config.ReleasePercent
	body := fmt.Sprintf("answer %d of identity %d", random.Uint64(), identity)
	loseResponse := percent >= 100-r.config.LosePercent
	if decision.Kind == claims.Run && !release {
		r.executions[identity]++
		if !loseResponse {
			r.responses[identity] = body
		}
	}
	r.mu.Unlock()
	if decision.Kind == claims.Refused {
		// A caller that did not wait would use up its submissions within one outage.
		process.Wait(ctx, min(decision.RetryAfter, maxRetryWait))
	}
	if decision.Kind != claims.Run {
		return
	}
	kill := random.IntN(100) < r.config.KillPercent
	if kill && random.IntN(2) == 0 {
		// The daemon that owns the claim dies after the dispatch, before it reports the outcome.
		r.restart(index, d)
		return
	}
	switch {
	case release:
		d.guard.Release(ctx, decision.Claim)
	case loseResponse:
		d.guard.ReportLost(ctx, decision.Claim)
	default:
		d.guard.Finish(ctx, decision.Claim, claims.Response{Status: http.StatusOK, Body: []byte(body)})
	}
	if kill {
		r.restart(index, d)
	}
}

// restart kills a daemon and starts another in its place, unless another caller has already done so.
func (r *experiment) restart(index int, old *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.daemons[index] != old {
		return
	}
	replacement, err := r.newDaemon(index)
	if err != nil {
		// newDaemon accepted the same settings before.
		panic(err)
	}
	r.daemons[index] = replacement
	r.report.Kills++
	old.kill()
}

// injectFaults injects one platform fault after another until ctx ends.
func (r *experiment) injectFaults(ctx context.Context) {
	if r.config.FaultEvery <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(r.config.Seed, 1<<32))
	count := func(fault string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Faults[fault]++
	}
	up, zero := standin.Up, 0
	for process.Wait(ctx, time.Duration(random.ExpFloat64()*float64(r.config.FaultEvery))) {
		length := time.Duration(random.IntN(30)) * time.Millisecond
		n := 1 + random.IntN(5)
		switch down := []standin.DownMode{standin.DownRefuse, standin.DownDrop}[random.IntN(2)]; random.IntN(4) {
		case 0, 1:
			count("lose-answers")
			r.service.SetFaults(standin.Faults{LoseAnswers: &n})
		case 2:
			count("down-" + string(down))
			r.service.SetFaults(standin.Faults{Down: &down})
		case 3:
			count("slow")
			r.service.SetFaults(standin.Faults{SlowMS: &n})
		}
		process.Wait(ctx, length)
		r.service.SetFaults(standin.Faults{Down: &up, SlowMS: &zero, LoseAnswers: &zero})
	}
}

// countExecutions computes the figures of the report about executions per identity.
func (r *experiment) countExecutions() {
	for _, n := range r.executions {
		r.report.Executions += n
		r.report.Executed++
		r.report.MaxPerIdentity = max(r.report.MaxPerIdentity, n)
		r.report.Repeated += n - 1
	}
}
