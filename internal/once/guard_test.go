package once

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sniperail.example/sniperail/internal/command/claims"
	"sniperail.example/sniperail/internal/platform"
	standin "sniperail.example/sniperail/internal/standin/platform"
	"sniperail.example/sniperail/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ptr[T any](v T) *T { return &v }

// sleep waits on the fake clock.
func sleep(d time.Duration) { <-time.After(d) }

// fixture is a stand-in platform for guards, on a fake clock.
type fixture struct {
	t       *testing.T
	service *standin.Service
	ctx     context.Context
}

// onFakeClock runs a test on a fake clock with a stand-in platform that ends with the test.
func onFakeClock(t *testing.T, test func(*is.I, fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		service := standin.Start(ctx, standin.Limits{})
		t.Cleanup(func() {
			cancel()
			<-service.Stopped()
		})
		test(is.New(t), fixture{t: t, service: service, ctx: ctx})
	})
}

func (f fixture) guard(change ...func(*claims.Config)) *Guard {
	return startGuard(f.t, f.service.Store(), change...)
}

func startGuard(t *testing.T, s store.Store, change ...func(*claims.Config)) *Guard {
	t.Helper()
	config := claims.DefaultConfig("daemon")
	for _, c := range change {
		c(&config)
	}
	guard, err := NewGuard(s, Config{Claims: config})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kill(guard) })
	return guard
}

// kill stops a guard without storing anything, like the death of its process.
func kill(g *Guard) {
	g.cancel()
	<-g.stopped
}

// begin claims an identity for a request with a deadline in ten seconds.
func (f fixture) begin(g *Guard, identity string) claims.Decision {
	return g.Begin(f.ctx, identity, time.Now().Add(10*time.Second))
}

var response = claims.Response{Status: 201, Header: map[string][]string{"Content-Type": {"text/plain"}}, Body: []byte("ticket 7")}

// Guards against a repeated submission that runs again or gets another response than the first one, on the same daemon and
// on another.
func TestRepeatGetsFirstResponse(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		first, second := f.guard(), f.guard()
		run := f.begin(first, "a")
		is.Equal(run.Kind, claims.Run)
		is.Equal(f.begin(first, "a").Kind, claims.InProgress)
		onSecond := f.begin(second, "a")
		is.Equal(onSecond.Kind, claims.InProgress)
		is.True(onSecond.RetryAfter > 0)
		first.Finish(f.ctx, run.Claim, response)
		is.Equal(f.begin(first, "a").Response, response) // known before it is stored
		sleep(time.Second)
		is.Equal(f.begin(second, "a"), claims.Decision{Kind: claims.Replay, Response: response})
		is.Equal(f.begin(second, "b").Kind, claims.Run) // another identity is not affected
	})
}

// Guards against responses that are truncated to the size limit: a truncated response would look complete.
func TestResponseOverTheLimitIsNotReplayed(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		first, second := f.guard(), f.guard()
		run := f.begin(first, "a")
		first.Finish(f.ctx, run.Claim, claims.Response{Status: 200, Body: []byte(strings.Repeat("x", 4<<10))})
		sleep(time.Second)
		repeat := f.begin(second, "a")
		is.Equal(repeat.Kind, claims.OutcomeUnknown)
		is.Equal(repeat.Reason, claims.ReasonResponseTooLarge)
		is.True(strings.Contains(repeat.Reconcile, "was executed"))
	})
}

// Guards against several executions when many callers submit one identity at once to several daemons.
func TestRaceOfManyClaimers(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		f.service.SetFaults(standin.Faults{SlowMS: ptr(3)})
		var guards []*Guard
		for range 5 {
			guards = append(guards, f.guard())
		}
		var mu sync.Mutex
		kinds := map[claims.Kind]int{}
		var callers sync.WaitGroup
		for i := range 100 {
			callers.Go(func() {
				decision := f.begin(guards[i%len(guards)], "a")
				mu.Lock()
				defer mu.Unlock()
				kinds[decision.Kind]++
			})
		}
		callers.Wait()
		is.Equal(kinds, map[claims.Kind]int{claims.Run: 1, claims.InProgress: 99})
		is.True(f.service.Counts().Calls[store.KindTxn] <= 10) // callers of one daemon share its claim
	})
}

// Guards against claims that are lost because another claim of their transaction already exists.
func TestConflictInBatchKeepsOtherClaims(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		other, g := f.guard(), f.guard()
		for i := range 5 {
			is.Equal(f.begin(other, fmt.Sprint("taken", i)).Kind, claims.Run)
		}
		is.Equal(f.begin(g, "first").Kind, claims.Run) // requests the lease
		sleep(time.Second)
		f.service.SetFaults(standin.Faults{SlowMS: ptr(50)})
		go f.begin(g, "busy") // the claims below wait for this write and form one batch
		synctest.Wait()
		before := f.service.Counts().Calls[store.KindTxn]
		decisions := make([]claims.Decision, 20)
		var callers sync.WaitGroup
		for i := range decisions {
			identity := fmt.Sprint("free", i)
			if i < 5 {
				identity = fmt.Sprint("taken", i)
			}
			callers.Go(func() { decisions[i] = f.begin(g, identity) })
		}
		callers.Wait()
		for i, decision := range decisions {
			want := claims.Run
			if i < 5 {
				want = claims.InProgress
			}
			is.Equal(decision.Kind, want)
		}
		is.Equal(f.service.Counts().Calls[store.KindTxn]-before, int64(3)) // busy, the batch, the rest of the batch
	})
}

// Guards against a claim that is abandoned or run twice, and a stored response that is lost, because the platform's reply
// to the write of the claim or of the response was lost.
func TestLostResponseOfWriteIsReconciled(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		g := f.guard()
		is.Equal(f.begin(g, "warm").Kind, claims.Run) // requests the lease, which the next claim uses
		f.service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
		run := f.begin(g, "a")
		is.Equal(run.Kind, claims.Run)
		is.Equal(f.begin(f.guard(), "a").Kind, claims.InProgress)
		f.service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
		g.Finish(f.ctx, run.Claim, response)
		sleep(5 * time.Second)
		is.Equal(f.begin(f.guard(), "a").Kind, claims.Replay)
	})
}

// Guards against a request that runs although its claim is not known to exist, and against claims that remain after a
// refusal.
func TestOutageRefusesAndLeavesNoClaim(t *testing.T) {
	for _, mode := range []standin.DownMode{standin.DownRefuse, standin.DownDrop} {
		t.Run(string(mode), func(t *testing.T) {
			onFakeClock(t, func(is *is.I, f fixture) {
				g := f.guard()
				warm := f.begin(g, "warm")
				f.service.SetFaults(standin.Faults{Down: ptr(mode)})
				is.Equal(f.begin(g, "a").Kind, claims.Refused)
				g.Finish(f.ctx, warm.Claim, response)
				sleep(5 * time.Second)
				f.service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
				sleep(5 * time.Second)
				is.Equal(f.service.Counts().Keys, 1)                    // the refused claim left nothing
				is.Equal(f.begin(f.guard(), "warm").Response, response) // the response was stored after the outage
				is.Equal(f.begin(f.guard(), "a").Kind, claims.Run)      // the refused request was not executed, so a repeat may run
				is.Equal(f.begin(g, "a").Kind, claims.InProgress)       // but only one
			})
		})
	}
}

// Guards against callers that wait for a platform that is known to be down.
func TestOutageRefusesAtOnce(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		g := f.guard()
		f.service.SetFaults(standin.Faults{Down: ptr(standin.DownRefuse)})
		began := time.Now()
		for i := range 10 {
			is.Equal(f.begin(g, fmt.Sprint(i)).Reason, claims.ReasonUnavailable)
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(f.service.Counts().Calls[store.KindGrant], int64(1)) // one call detected the outage
		sleep(time.Second)
		f.service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
		is.Equal(f.begin(g, "a").Kind, claims.Run)
	})
}

// Guards against a claim that takes effect after its caller was refused: it must be released, not run.
func TestSlowPlatformRefusesAndReleases(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		g := f.guard()
		is.Equal(f.begin(g, "warm").Kind, claims.Run) // requests the lease, which the next claim uses
		f.service.SetFaults(standin.Faults{SlowMS: ptr(3000)})
		refusal := f.begin(g, "a")
		is.Equal(refusal.Kind, claims.Refused)
		is.Equal(refusal.Reason, claims.ReasonUnconfirmed)
		f.service.SetFaults(standin.Faults{SlowMS: ptr(0)})
		sleep(5 * time.Second)
		is.Equal(f.service.Counts().Keys, 1) // only the claim of "warm"
		is.Equal(f.begin(f.guard(), "a").Kind, claims.Run)
	})
}

// Guards against a claim that remains when the context of its caller ends before the decision.
func TestCallerGivesUp(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		g := f.guard()
		f.service.SetFaults(standin.Faults{SlowMS: ptr(100)})
		ctx, cancel := context.WithTimeout(f.ctx, 150*time.Millisecond)
		defer cancel()
		is.Equal(g.Begin(ctx, "a", time.Now().Add(time.Minute)).Reason, claims.ReasonCancelled)
		sleep(time.Second)
		is.Equal(f.service.Counts().Keys, 0)
		is.Equal(g.Begin(ctx, "a", time.Now().Add(time.Minute)).Kind, claims.Refused)
		is.Equal(g.Begin(f.ctx, "a", time.Now()).Reason, claims.ReasonDeadline)
		is.Equal(g.Begin(f.ctx, "a", time.Now().Add(13*time.Hour)).Reason, claims.ReasonDeadlineTooFar)
	})
}

// Guards against a second execution, or a claim that stays in phase Running for ever, when the owner dies at any point.
func TestOwnerDeath(t *testing.T) {
	for _, test := range []struct {
		name string
		// runUntilDeath brings the owner to the point of its death.
		runUntilDeath func(f fixture, owner *Guard)
		before, after claims.Kind
	}{
		{"before the claim is written", func(f fixture, owner *Guard) {
			f.service.SetFaults(standin.Faults{Down: ptr(standin.DownDrop)})
			go f.begin(owner, "a")
			synctest.Wait()
			kill(owner)
			f.service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
		}, claims.Run, claims.InProgress},
		{"while the claim is being written", func(f fixture, owner *Guard) {
			f.service.SetFaults(standin.Faults{SlowMS: ptr(10)})
			go f.begin(owner, "a")
			sleep(15 * time.Millisecond) // the lease is granted, the claim is on its way
			kill(owner)
			f.service.SetFaults(standin.Faults{SlowMS: ptr(0)})
			sleep(10 * time.Millisecond)
		}, claims.InProgress, claims.OutcomeUnknown},
		{"after it was told to run", func(f fixture, owner *Guard) {
			f.begin(owner, "a")
			kill(owner)
		}, claims.InProgress, claims.OutcomeUnknown},
		{"after the response, before it is stored", func(f fixture, owner *Guard) {
			run := f.begin(owner, "a")
			owner.Finish(f.ctx, run.Claim, response)
			synctest.Wait()
			kill(owner)
		}, claims.InProgress, claims.OutcomeUnknown},
		{"after the response is stored", func(f fixture, owner *Guard) {
			run := f.begin(owner, "a")
			owner.Finish(f.ctx, run.Claim, response)
			owner.Close(f.ctx)
		}, claims.Replay, claims.Replay},
		{"after it reported a loss", func(f fixture, owner *Guard) {
			run := f.begin(owner, "a")
			owner.ReportLost(f.ctx, run.Claim)
			owner.Close(f.ctx)
		}, claims.OutcomeUnknown, claims.OutcomeUnknown},
		{"after it released the claim", func(f fixture, owner *Guard) {
			run := f.begin(owner, "a")
			owner.Release(f.ctx, run.Claim)
			owner.Close(f.ctx)
		}, claims.Run, claims.InProgress},
	} {
		t.Run(test.name, func(t *testing.T) {
			onFakeClock(t, func(is *is.I, f fixture) {
				test.runUntilDeath(f, f.guard())
				successor := f.guard()
				is.Equal(f.begin(successor, "a").Kind, test.before)
				if test.after == claims.InProgress {
					return // the successor's own claim
				}
				sleep(20 * time.Second) // past the deadline and the margin for skewed clocks
				decision := f.begin(successor, "a")
				is.Equal(decision.Kind, test.after)
				is.Equal(decision.Reconcile != "", test.after == claims.OutcomeUnknown)
			})
		})
	}
}

// Guards against an expired lease that blocks new claims, and against responses that recreate an expired claim.
func TestExpiredLease(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		g := f.guard()
		run := f.begin(g, "a")
		f.service.SetFaults(standin.Faults{LapseLease: 1})
		is.Equal(f.service.Counts().Keys, 0)
		g.Finish(f.ctx, run.Claim, response)
		sleep(time.Second)
		is.Equal(f.service.Counts().Keys, 0)
		is.Equal(f.begin(g, "b").Kind, claims.Run) // under a new lease
		is.Equal(f.service.Counts().Leases, 1)
	})
}

// Guards against claims that use more space than the limit, and against reserved space that is not released.
func TestSpaceIsBounded(t *testing.T) {
	onFakeClock(t, func(is *is.I, f fixture) {
		g := f.guard(func(c *claims.Config) { c.MaxBytes = 3 * (512 + c.MaxResponse) })
		var runs []claims.Decision
		for i := range 4 {
			runs = append(runs, f.begin(g, fmt.Sprint(i)))
		}
		is.Equal(runs[2].Kind, claims.Run)
		is.Equal(runs[3].Reason, claims.ReasonSpaceExhausted)
		g.Finish(f.ctx, runs[0].Claim, response) // releases the space that the response does not use
		sleep(time.Second)
		is.Equal(f.begin(g, "3").Reason, claims.ReasonSpaceExhausted)
		g.Release(f.ctx, runs[1].Claim)
		sleep(time.Second)
		is.Equal(f.begin(g, "3").Kind, claims.Run)
		sleep(24 * time.Hour)
		is.Equal(f.service.Counts().Keys, 3) // kept for the retention
		sleep(time.Hour)
		is.Equal(f.service.Counts().Keys, 0)
		for i := range 3 {
			is.Equal(f.begin(g, fmt.Sprint("later", i)).Kind, claims.Run)
		}
	})
}

// Guards against claims that work only with an in-memory store: runs client, gate and guard over a loopback listener.
func TestOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	service := standin.Start(ctx, standin.Limits{})
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	defer cancel()
	client, err := platform.NewClient(platform.ClientConfig{Endpoints: []string{server.URL}, Timeout: time.Minute})
	is.NoErr(err)
	defer client.Close()
	gate, err := platform.NewGate(client, platform.GateConfig{
		WritesPerSecond: 1000, WriteBurst: 1000, ReadsPerSecond: 1000, ReadBurst: 1000,
		BackoffBase: time.Millisecond, BackoffMax: time.Second,
	})
	is.NoErr(err)
	longTimeouts := func(c *claims.Config) { c.DecisionTimeout, c.WriteTimeout = time.Minute, time.Minute }
	first, second := startGuard(t, gate, longTimeouts), startGuard(t, gate, longTimeouts)
	deadline := time.Now().Add(time.Hour)
	is.Equal(first.Begin(ctx, "warm", deadline).Kind, claims.Run)
	service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
	run := first.Begin(ctx, "a", deadline)
	is.Equal(run.Kind, claims.Run)
	is.Equal(second.Begin(ctx, "a", deadline).Kind, claims.InProgress)
	first.Finish(ctx, run.Claim, response)
	first.Close(ctx)
	is.Equal(second.Begin(ctx, "a", deadline), claims.Decision{Kind: claims.Replay, Response: response})
	is.Equal(first.Begin(ctx, "b", deadline).Reason, claims.ReasonStopped)
}
