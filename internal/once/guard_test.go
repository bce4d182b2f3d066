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

// advance waits on the fake clock.
func advance(d time.Duration) { <-time.After(d) }

// bench is a stand-in with guards on it, on a fake clock.
type bench struct {
	t       *testing.T
	service *standin.Service
	ctx     context.Context
}

// onFakeClock runs a test with a stand-in that ends with the test.
func onFakeClock(t *testing.T, test func(*is.I, bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		service := standin.Start(ctx, standin.Limits{})
		t.Cleanup(func() {
			cancel()
			<-service.Stopped()
		})
		test(is.New(t), bench{t: t, service: service, ctx: ctx})
	})
}

func (b bench) guard(change ...func(*claims.Config)) *Guard {
	return startGuard(b.t, b.service.Store(), change...)
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
	t.Cleanup(func() { die(guard) })
	return guard
}

// die ends a guard as the death of its process would.
func die(g *Guard) {
	g.cancel()
	<-g.stopped
}

// begin claims an identity for a request of ten seconds.
func (b bench) begin(g *Guard, identity string) claims.Decision {
	return g.Begin(b.ctx, identity, time.Now().Add(10*time.Second))
}

var answer = claims.Response{Status: 201, Header: map[string][]string{"Content-Type": {"text/plain"}}, Body: []byte("ticket 7")}

// Guards against a repeat that runs again or gets another answer than the first, on the same and on another daemon.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		first, second := b.guard(), b.guard()
		run := b.begin(first, "a")
		is.Equal(run.Kind, claims.Run)
		is.Equal(b.begin(first, "a").Kind, claims.InProgress)
		elsewhere := b.begin(second, "a")
		is.Equal(elsewhere.Kind, claims.InProgress)
		is.True(elsewhere.RetryAfter > 0)
		first.Finish(b.ctx, run.Claim, answer)
		is.Equal(b.begin(first, "a").Response, answer) // known before it is stored
		advance(time.Second)
		is.Equal(b.begin(second, "a"), claims.Decision{Kind: claims.Replay, Response: answer})
		is.Equal(b.begin(second, "b").Kind, claims.Run) // another identity is not affected
	})
}

// Guards against answers that are cut to the size limit: a cut answer would pass for a complete one.
func TestAnswerOverTheLimitIsNotReplayed(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		first, second := b.guard(), b.guard()
		run := b.begin(first, "a")
		first.Finish(b.ctx, run.Claim, claims.Response{Status: 200, Body: []byte(strings.Repeat("x", 4<<10))})
		advance(time.Second)
		repeat := b.begin(second, "a")
		is.Equal(repeat.Kind, claims.OutcomeUnknown)
		is.Equal(repeat.Reason, claims.ReasonAnswerTooBig)
		is.True(strings.Contains(repeat.Reconcile, "was executed"))
	})
}

// Guards against several executions when many callers submit one identity at once to several daemons.
func TestRaceOfManyClaimers(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		b.service.SetFaults(standin.Faults{SlowMS: ptr(3)})
		var guards []*Guard
		for range 5 {
			guards = append(guards, b.guard())
		}
		var mu sync.Mutex
		kinds := map[claims.Kind]int{}
		var callers sync.WaitGroup
		for i := range 100 {
			callers.Go(func() {
				decision := b.begin(guards[i%len(guards)], "a")
				mu.Lock()
				defer mu.Unlock()
				kinds[decision.Kind]++
			})
		}
		callers.Wait()
		is.Equal(kinds, map[claims.Kind]int{claims.Run: 1, claims.InProgress: 99})
		is.True(b.service.Counts().Calls[store.KindTxn] <= 10) // callers of one daemon share its claim
	})
}

// Guards against claims that are lost because another claim of their transaction exists already.
func TestConflictInGroupKeepsTheOthers(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		other, g := b.guard(), b.guard()
		for i := range 5 {
			is.Equal(b.begin(other, fmt.Sprint("taken", i)).Kind, claims.Run)
		}
		is.Equal(b.begin(g, "first").Kind, claims.Run) // takes the lease
		advance(time.Second)
		b.service.SetFaults(standin.Faults{SlowMS: ptr(50)})
		go b.begin(g, "busy") // the claims below wait for this write and form one group
		synctest.Wait()
		before := b.service.Counts().Calls[store.KindTxn]
		decisions := make([]claims.Decision, 20)
		var callers sync.WaitGroup
		for i := range decisions {
			identity := fmt.Sprint("free", i)
			if i < 5 {
				identity = fmt.Sprint("taken", i)
			}
			callers.Go(func() { decisions[i] = b.begin(g, identity) })
		}
		callers.Wait()
		for i, decision := range decisions {
			want := claims.Run
			if i < 5 {
				want = claims.InProgress
			}
			is.Equal(decision.Kind, want)
		}
		is.Equal(b.service.Counts().Calls[store.KindTxn]-before, int64(3)) // busy, the group, the rest of the group
	})
}

// Guards against a claim whose answer was lost being given up or run twice.
func TestLostAnswerOfClaimIsReconciled(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		g := b.guard()
		is.Equal(b.begin(g, "warm").Kind, claims.Run)
		b.service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
		run := b.begin(g, "a")
		is.Equal(run.Kind, claims.Run)
		is.Equal(b.begin(b.guard(), "a").Kind, claims.InProgress)
		b.service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
		g.Finish(b.ctx, run.Claim, answer)
		advance(5 * time.Second)
		is.Equal(b.begin(b.guard(), "a").Kind, claims.Replay)
	})
}

// Guards against a request that runs although its claim is not known to exist, and against claims left by refusals.
func TestOutageRefusesAndLeavesNoClaim(t *testing.T) {
	for _, mode := range []standin.DownMode{standin.DownRefuse, standin.DownDrop} {
		t.Run(string(mode), func(t *testing.T) {
			onFakeClock(t, func(is *is.I, b bench) {
				g := b.guard()
				warm := b.begin(g, "warm")
				b.service.SetFaults(standin.Faults{Down: ptr(mode)})
				is.Equal(b.begin(g, "a").Kind, claims.Refused)
				g.Finish(b.ctx, warm.Claim, answer)
				advance(5 * time.Second)
				b.service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
				advance(5 * time.Second)
				is.Equal(b.service.Counts().Keys, 1)                  // the refused claim left nothing
				is.Equal(b.begin(b.guard(), "warm").Response, answer) // the answer was stored after the outage
				is.Equal(b.begin(b.guard(), "a").Kind, claims.Run)    // the refusal was true, so a repeat may run
				is.Equal(b.begin(g, "a").Kind, claims.InProgress)     // but only one
			})
		})
	}
}

// Guards against callers that wait for a platform that is known to be down.
func TestOutageRefusesAtOnce(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		g := b.guard()
		b.service.SetFaults(standin.Faults{Down: ptr(standin.DownRefuse)})
		began := time.Now()
		for i := range 10 {
			is.Equal(b.begin(g, fmt.Sprint(i)).Reason, claims.ReasonUnavailable)
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(b.service.Counts().Calls[store.KindGrant], int64(1)) // one call found out
		advance(time.Second)
		b.service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
		is.Equal(b.begin(g, "a").Kind, claims.Run)
	})
}

// Guards against a claim that takes effect after its caller was refused: it must be released, not run.
func TestSlowPlatformRefusesAndReleases(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		g := b.guard()
		is.Equal(b.begin(g, "warm").Kind, claims.Run)
		b.service.SetFaults(standin.Faults{SlowMS: ptr(3000)})
		refusal := b.begin(g, "a")
		is.Equal(refusal.Kind, claims.Refused)
		is.Equal(refusal.Reason, claims.ReasonUnconfirmed)
		b.service.SetFaults(standin.Faults{SlowMS: ptr(0)})
		advance(5 * time.Second)
		is.Equal(b.service.Counts().Keys, 1) // only the claim of "warm"
		is.Equal(b.begin(b.guard(), "a").Kind, claims.Run)
	})
}

// Guards against a claim that stays behind when its caller gives up before the decision.
func TestCallerGivesUp(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		g := b.guard()
		b.service.SetFaults(standin.Faults{SlowMS: ptr(100)})
		ctx, cancel := context.WithTimeout(b.ctx, 150*time.Millisecond)
		defer cancel()
		is.Equal(g.Begin(ctx, "a", time.Now().Add(time.Minute)).Reason, claims.ReasonCancelled)
		advance(time.Second)
		is.Equal(b.service.Counts().Keys, 0)
		is.Equal(g.Begin(ctx, "a", time.Now().Add(time.Minute)).Kind, claims.Refused)
		is.Equal(g.Begin(b.ctx, "a", time.Now()).Reason, claims.ReasonDeadline)
		is.Equal(g.Begin(b.ctx, "a", time.Now().Add(13*time.Hour)).Reason, claims.ReasonTooFar)
	})
}

// Guards against a second execution, or a claim that stays running for ever, when the owner dies at each point.
func TestOwnerDeath(t *testing.T) {
	for _, test := range []struct {
		name string
		// live brings the owner to the point of its death.
		live          func(b bench, owner *Guard)
		before, after claims.Kind
	}{
		{"before the claim is written", func(b bench, owner *Guard) {
			b.service.SetFaults(standin.Faults{Down: ptr(standin.DownDrop)})
			go b.begin(owner, "a")
			synctest.Wait()
			die(owner)
			b.service.SetFaults(standin.Faults{Down: ptr(standin.Up)})
		}, claims.Run, claims.InProgress},
		{"while the claim is being written", func(b bench, owner *Guard) {
			b.service.SetFaults(standin.Faults{SlowMS: ptr(10)})
			go b.begin(owner, "a")
			advance(15 * time.Millisecond) // the lease is granted, the claim is on its way
			die(owner)
			b.service.SetFaults(standin.Faults{SlowMS: ptr(0)})
			advance(10 * time.Millisecond)
		}, claims.InProgress, claims.OutcomeUnknown},
		{"after it was told to run", func(b bench, owner *Guard) {
			b.begin(owner, "a")
			die(owner)
		}, claims.InProgress, claims.OutcomeUnknown},
		{"after the answer, before it is stored", func(b bench, owner *Guard) {
			run := b.begin(owner, "a")
			owner.Finish(b.ctx, run.Claim, answer)
			synctest.Wait()
			die(owner)
		}, claims.InProgress, claims.OutcomeUnknown},
		{"after the answer is stored", func(b bench, owner *Guard) {
			run := b.begin(owner, "a")
			owner.Finish(b.ctx, run.Claim, answer)
			owner.Close(b.ctx)
		}, claims.Replay, claims.Replay},
		{"after it reported a loss", func(b bench, owner *Guard) {
			run := b.begin(owner, "a")
			owner.ReportLost(b.ctx, run.Claim)
			owner.Close(b.ctx)
		}, claims.OutcomeUnknown, claims.OutcomeUnknown},
		{"after it released the claim", func(b bench, owner *Guard) {
			run := b.begin(owner, "a")
			owner.Release(b.ctx, run.Claim)
			owner.Close(b.ctx)
		}, claims.Run, claims.InProgress},
	} {
		t.Run(test.name, func(t *testing.T) {
			onFakeClock(t, func(is *is.I, b bench) {
				test.live(b, b.guard())
				heir := b.guard()
				is.Equal(b.begin(heir, "a").Kind, test.before)
				if test.after == claims.InProgress {
					return // the heir's own claim
				}
				advance(20 * time.Second) // past the deadline and the margin for skewed clocks
				decision := b.begin(heir, "a")
				is.Equal(decision.Kind, test.after)
				is.Equal(decision.Reconcile != "", test.after == claims.OutcomeUnknown)
			})
		})
	}
}

// Guards against a lapsed lease that stops new claims, and against answers that revive a claim that is gone.
func TestLapsedLease(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		g := b.guard()
		run := b.begin(g, "a")
		b.service.SetFaults(standin.Faults{LapseLease: 1})
		is.Equal(b.service.Counts().Keys, 0)
		g.Finish(b.ctx, run.Claim, answer)
		advance(time.Second)
		is.Equal(b.service.Counts().Keys, 0)
		is.Equal(b.begin(g, "b").Kind, claims.Run) // under a new lease
		is.Equal(b.service.Counts().Leases, 1)
	})
}

// Guards against claims that use more space than their limit, and against space that is not given back.
func TestSpaceIsBounded(t *testing.T) {
	onFakeClock(t, func(is *is.I, b bench) {
		g := b.guard(func(c *claims.Config) { c.MaxBytes = 3 * (512 + c.MaxAnswer) })
		var runs []claims.Decision
		for i := range 4 {
			runs = append(runs, b.begin(g, fmt.Sprint(i)))
		}
		is.Equal(runs[2].Kind, claims.Run)
		is.Equal(runs[3].Reason, claims.ReasonSpace)
		g.Finish(b.ctx, runs[0].Claim, answer) // gives back what the answer does not use
		advance(time.Second)
		is.Equal(b.begin(g, "3").Reason, claims.ReasonSpace)
		g.Release(b.ctx, runs[1].Claim)
		advance(time.Second)
		is.Equal(b.begin(g, "3").Kind, claims.Run)
		advance(24 * time.Hour)
		is.Equal(b.service.Counts().Keys, 3) // kept for the retention
		advance(time.Hour)
		is.Equal(b.service.Counts().Keys, 0)
		for i := range 3 {
			is.Equal(b.begin(g, fmt.Sprint("later", i)).Kind, claims.Run)
		}
	})
}

// Guards against claims that work only with a direct store: adapter, gate and guard over a loopback listener.
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
	patient := func(c *claims.Config) { c.Patience, c.SettlePatience = time.Minute, time.Minute }
	first, second := startGuard(t, gate, patient), startGuard(t, gate, patient)
	deadline := time.Now().Add(time.Hour)
	is.Equal(first.Begin(ctx, "warm", deadline).Kind, claims.Run)
	service.SetFaults(standin.Faults{LoseAnswers: ptr(1)})
	run := first.Begin(ctx, "a", deadline)
	is.Equal(run.Kind, claims.Run)
	is.Equal(second.Begin(ctx, "a", deadline).Kind, claims.InProgress)
	first.Finish(ctx, run.Claim, answer)
	first.Close(ctx)
	is.Equal(second.Begin(ctx, "a", deadline), claims.Decision{Kind: claims.Replay, Response: answer})
	is.Equal(first.Begin(ctx, "b", deadline).Reason, claims.ReasonStopped)
}
