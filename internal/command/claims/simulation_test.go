package claims

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/store"
	_ "sniperail.example/sniperail/internal/testseed"
)

// TestMain raises the number of cases, because 100 cases missed faults that 200 found. A flag on the command line has
// precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// entry is the value of a key in the simulated platform.
type entry struct {
	record Record
	create int64
	lease  store.LeaseID
}

// submission is one Begin and the state of its caller.
type submission struct {
	identity string
	daemon   int
	decision *Decision
	// reported means that the caller reported the outcome of its run.
	reported bool
}

// simulation runs several daemons on a simulated platform that performs one write at a time. Its counters are the
// reference model: an identity runs at most once, and only its first response is replayed.
type simulation struct {
	t       *rapid.T
	now     time.Time
	config  Config
	daemons []*State
	// outstanding is the call of each daemon that has no result yet.
	outstanding []Effect
	lateWrites  []Write
	platform    map[string]entry
	leases      map[store.LeaseID]bool
	revision    int64
	tokens      Token
	submissions map[Token]*submission
	executions  map[string]int
	responses   map[string]string
}

var identities = []string{"a", "b", "c"}

func newSimulation(t *rapid.T) *simulation {
	config := DefaultConfig("daemon")
	config.MaxBatch = rapid.IntRange(1, 3).Draw(t, "batch")
	s := &simulation{
		t: t, now: time.Unix(1_000_000, 0), config: config, platform: map[string]entry{},
		leases: map[store.LeaseID]bool{}, submissions: map[Token]*submission{}, executions: map[string]int{},
		responses: map[string]string{},
	}
	for range 3 {
		s.daemons = append(s.daemons, New(config))
		s.outstanding = append(s.outstanding, nil)
	}
	return s
}

func (s *simulation) handle(daemon int, event Event) {
	for _, effect := range s.daemons[daemon].Handle(event, s.now) {
		switch e := effect.(type) {
		case Decide:
			s.handleDecide(e)
		case Grant, Write:
			if s.outstanding[daemon] != nil {
				s.t.Fatalf("daemon %d started a second call", daemon)
			}
			s.outstanding[daemon] = effect
		}
	}
}

func (s *simulation) handleDecide(e Decide) {
	submitted := s.submissions[e.Token]
	if submitted == nil {
		return // the caller gave up
	}
	if submitted.decision != nil {
		s.t.Fatalf("token %d was decided twice", e.Token)
	}
	submitted.decision = &e.Decision
	switch e.Decision.Kind {
	case Run:
		if !s.now.Before(e.Decision.Claim.Deadline) {
			s.t.Fatalf("run after the deadline")
		}
	case Replay:
		if got := string(e.Decision.Response.Body); got != s.responses[submitted.identity] || got == "" {
			s.t.Fatalf("replay of %q, first response %q", got, s.responses[submitted.identity])
		}
	case InProgress, OutcomeUnknown:
		if e.Decision.Kind == OutcomeUnknown && e.Decision.Reconcile == "" {
			s.t.Fatalf("unknown outcome without a way to reconcile")
		}
	}
	if e.Decision.Kind != Run {
		delete(s.submissions, e.Token)
	}
}

func (s *simulation) begin(daemon int, identity string) {
	s.tokens++
	s.submissions[s.tokens] = &submission{identity: identity, daemon: daemon}
	s.handle(daemon, Begin{
		Token: s.tokens, Key: Key(identity), ID: fmt.Sprint("id", s.tokens), Deadline: s.now.Add(5 * time.Second),
	})
}

// applyWrite applies a write as the platform would.
func (s *simulation) applyWrite(w Write) Written {
	found := map[string]StoredClaim{}
	ok := true
	for _, step := range w.Steps {
		e, present := s.platform[step.Key]
		if present {
			found[step.Key] = StoredClaim{Record: e.record, CreateRevision: e.create, Lease: e.lease}
		}
		if step.Operation == Create {
			ok = ok && !present
		} else {
			ok = ok && e.create == step.Revision
		}
	}
	if !ok {
		return Written{Outcome: store.Conflict, Existing: found}
	}
	for _, step := range w.Steps {
		if step.Operation == Create && !s.leases[step.Lease] {
			return Written{Outcome: store.NotFound}
		}
	}
	s.revision++
	for _, step := range w.Steps {
		switch step.Operation {
		case Create:
			s.platform[step.Key] = entry{step.Record, s.revision, step.Lease}
		case Update:
			s.platform[step.Key] = entry{step.Record, step.Revision, step.Lease}
		case Delete:
			delete(s.platform, step.Key)
		}
	}
	return Written{Outcome: store.Applied, Revision: s.revision}
}

// completeCall completes the outstanding call of a daemon with the given fault, or without one if fault is empty.
func (s *simulation) completeCall(daemon int, fault string) {
	call := s.outstanding[daemon]
	s.outstanding[daemon] = nil
	failed := map[string]store.Outcome{"lost": store.Unknown, "late": store.Unknown, "dropped": store.Unknown,
		"refused": store.Unavailable, "shed": store.Shed}[fault]
	switch c := call.(type) {
	case Grant:
		if failed != "" {
			s.handle(daemon, Granted{Outcome: failed})
			return
		}
		id := store.LeaseID(len(s.leases) + 1)
		s.leases[id] = true
		s.handle(daemon, Granted{Outcome: store.Applied, Lease: id, TTL: c.TTL})
	case Write:
		switch fault {
		case "":
			s.handle(daemon, s.applyWrite(c))
			return
		case "lost":
			s.applyWrite(c)
		case "late":
			s.lateWrites = append(s.lateWrites, c)
		}
		s.handle(daemon, Written{Outcome: failed})
	}
}

// runningTokens returns the tokens of callers that hold a claim, in order.
func (s *simulation) runningTokens() []Token {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.submissions)), func(token Token) bool {
		return s.submissions[token].decision == nil || s.submissions[token].reported
	})
}

// report lets a caller that holds a claim execute the request, unless the action is release, and report the outcome.
func (s *simulation) report(token Token, action string) {
	submitted := s.submissions[token]
	submitted.reported = true
	claim := submitted.decision.Claim
	if action == "release" {
		s.handle(submitted.daemon, Release{Claim: claim})
		return
	}
	s.executions[submitted.identity]++
	if n := s.executions[submitted.identity]; n > 1 {
		s.t.Fatalf("identity %q was executed %d times", submitted.identity, n)
	}
	if action == "lose" {
		s.handle(submitted.daemon, ReportLost{Claim: claim})
		return
	}
	s.responses[submitted.identity] = fmt.Sprint("response", token)
	s.handle(submitted.daemon, Finish{Claim: claim, Response: Response{Status: 200, Body: []byte(s.responses[submitted.identity])}})
}

// kill replaces a daemon by a new one without state. Its callers are gone; requests for which they hold a claim may have
// been dispatched.
func (s *simulation) kill(daemon int, dispatched bool) {
	for token, submitted := range s.submissions {
		if submitted.daemon != daemon {
			continue
		}
		if submitted.decision != nil && !submitted.reported && dispatched {
			s.executions[submitted.identity]++
			if s.executions[submitted.identity] > 1 {
				s.t.Fatalf("identity %q was executed twice", submitted.identity)
			}
		}
		delete(s.submissions, token)
	}
	if w, ok := s.outstanding[daemon].(Write); ok {
		s.lateWrites = append(s.lateWrites, w)
	}
	s.outstanding[daemon] = nil
	s.daemons[daemon] = New(s.config)
}

// step draws and performs one action.
func (s *simulation) step() {
	daemon := rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, "daemon")
	action := rapid.SampledFrom([]string{
		"begin", "begin", "begin", "complete", "complete", "complete", "fault", "report", "report", "cancel", "kill", "late write",
		"expire leases", "tick", "tick",
	}).Draw(s.t, "action")
	switch action {
	case "begin":
		s.begin(daemon, rapid.SampledFrom(identities).Draw(s.t, "identity"))
	case "complete":
		s.completeCall(daemon, "")
	case "fault":
		s.completeCall(daemon, rapid.SampledFrom([]string{"lost", "late", "dropped", "refused", "shed"}).Draw(s.t, "fault"))
	case "report":
		if runs := s.runningTokens(); len(runs) > 0 {
			s.report(rapid.SampledFrom(runs).Draw(s.t, "run"),
				rapid.SampledFrom([]string{"finish", "finish", "release", "lose"}).Draw(s.t, "outcome"))
		}
	case "cancel":
		if tokens := slices.Sorted(maps.Keys(s.submissions)); len(tokens) > 0 {
			token := rapid.SampledFrom(tokens).Draw(s.t, "cancelled")
			if submitted := s.submissions[token]; submitted.decision == nil {
				delete(s.submissions, token)
				s.handle(submitted.daemon, Cancel{Token: token})
			}
		}
	case "kill":
		s.kill(daemon, rapid.Bool().Draw(s.t, "dispatched"))
	case "late write":
		if len(s.lateWrites) > 0 {
			s.applyWrite(s.lateWrites[0])
			s.lateWrites = s.lateWrites[1:]
		}
	case "expire leases":
		// A lease may expire before its first claim is written.
		for id := range s.leases {
			used := slices.ContainsFunc(slices.Collect(maps.Values(s.platform)), func(e entry) bool { return e.lease == id })
			s.leases[id] = used
		}
	case "tick":
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "milliseconds")) * time.Millisecond)
		s.handle(daemon, Wake{})
	}
}

// drain completes calls until no daemon has work. It fails the test if the work does not end.
func (s *simulation) drain() {
	for range 1000 {
		idle := true
		for daemon, state := range s.daemons {
			if s.outstanding[daemon] != nil {
				s.completeCall(daemon, "")
				idle = false
			}
			if next, ok := state.NextWake(); ok && len(state.queue) > 0 {
				s.now = later(s.now, next)
				s.handle(daemon, Wake{})
				idle = false
			}
		}
		if idle {
			return
		}
	}
	s.t.Fatalf("work does not end")
}

// Guards against a second execution of an identity, a replay of another response, a second decision and a claim that is
// stuck. The simulation covers lost, late and refused writes, kills, cancellations, expired leases and repeated
// submissions on several daemons.
func TestAtMostOnceAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.step()
		}
		s.drain()
		for token, submitted := range s.submissions {
			if submitted.decision == nil {
				t.Fatalf("token %d was not decided", token)
			}
		}
		for _, state := range s.daemons {
			if state.callOutstanding || len(state.batch) > 0 || state.usedBytes(s.now) < 0 {
				t.Fatalf("a call is outstanding or the used space is negative: %+v", state)
			}
			for key, c := range state.claims {
				if c.stage != running {
					t.Fatalf("claim %s is stuck in stage %d", key, c.stage)
				}
			}
		}
	})
}
