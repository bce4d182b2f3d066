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

// TestMain draws more cases than usual, because 100 missed faults that 200 showed. A flag of the command line has
// precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// entry is what the naive platform holds for a key.
type entry struct {
	record Record
	create int64
	lease  store.LeaseID
}

// submission is one Begin, with what its caller did.
type submission struct {
	identity string
	daemon   int
	decision *Decision
	// settled says that the caller reported the end of its run.
	settled bool
}

// simulation is a set of daemons on a naive platform that performs one write at a time. Its counters are the sequential
// model: an identity runs at most once, and its first answer is the only one.
type simulation struct {
	t       *rapid.T
	now     time.Time
	config  Config
	daemons []*State
	// pending is the call of each daemon that has no result yet.
	pending    []Effect
	late       []Write
	platform   map[string]entry
	leases     map[store.LeaseID]bool
	revision   int64
	tokens     Token
	open       map[Token]*submission
	executions map[string]int
	answers    map[string]string
}

var identities = []string{"a", "b", "c"}

func newSimulation(t *rapid.T) *simulation {
	config := DefaultConfig("daemon")
	config.MaxGroup = rapid.IntRange(1, 3).Draw(t, "group")
	s := &simulation{
		t: t, now: time.Unix(1_000_000, 0), config: config, platform: map[string]entry{},
		leases: map[store.LeaseID]bool{}, open: map[Token]*submission{}, executions: map[string]int{}, answers: map[string]string{},
	}
	for range 3 {
		s.daemons = append(s.daemons, New(config))
		s.pending = append(s.pending, nil)
	}
	return s
}

func (s *simulation) handle(daemon int, event Event) {
	for _, effect := range s.daemons[daemon].Handle(event, s.now) {
		switch e := effect.(type) {
		case Decide:
			s.decided(e)
		case Grant, Write:
			if s.pending[daemon] != nil {
				s.t.Fatalf("daemon %d started a second call", daemon)
			}
			s.pending[daemon] = effect
		}
	}
}

func (s *simulation) decided(e Decide) {
	sub := s.open[e.Token]
	if sub == nil {
		return // the caller gave up
	}
	if sub.decision != nil {
		s.t.Fatalf("token %d was decided twice", e.Token)
	}
	sub.decision = &e.Decision
	switch e.Decision.Kind {
	case Run:
		if !s.now.Before(e.Decision.Claim.Deadline) {
			s.t.Fatalf("run after the deadline")
		}
	case Replay:
		if got := string(e.Decision.Response.Body); got != s.answers[sub.identity] || got == "" {
			s.t.Fatalf("replay of %q, first answer %q", got, s.answers[sub.identity])
		}
	case InProgress, OutcomeUnknown:
		if e.Decision.Kind == OutcomeUnknown && e.Decision.Reconcile == "" {
			s.t.Fatalf("unknown outcome without a way to reconcile")
		}
	}
	if e.Decision.Kind != Run {
		delete(s.open, e.Token)
	}
}

func (s *simulation) begin(daemon int, identity string) {
	s.tokens++
	s.open[s.tokens] = &submission{identity: identity, daemon: daemon}
	s.handle(daemon, Begin{
		Token: s.tokens, Key: Key(identity), ID: fmt.Sprint("id", s.tokens), Deadline: s.now.Add(5 * time.Second),
	})
}

// perform applies a write to the platform as the service would.
func (s *simulation) perform(w Write) Written {
	found := map[string]Found{}
	ok := true
	for _, step := range w.Steps {
		e, present := s.platform[step.Key]
		if present {
			found[step.Key] = Found{Record: e.record, CreateRevision: e.create, Lease: e.lease}
		}
		if step.Operation == Create {
			ok = ok && !present
		} else {
			ok = ok && e.create == step.Revision
		}
	}
	if !ok {
		return Written{Outcome: store.Conflict, Found: found}
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

// answer ends the pending call of a daemon in the given way.
func (s *simulation) answer(daemon int, fault string) {
	call := s.pending[daemon]
	s.pending[daemon] = nil
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
			s.handle(daemon, s.perform(c))
			return
		case "lost":
			s.perform(c)
		case "late":
			s.late = append(s.late, c)
		}
		s.handle(daemon, Written{Outcome: failed})
	}
}

// runs returns the tokens of callers that hold a claim, in order.
func (s *simulation) runs() []Token {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.open)), func(token Token) bool {
		return s.open[token].decision == nil || s.open[token].settled
	})
}

// settle lets a caller that holds a claim execute the request or not, and report it.
func (s *simulation) settle(token Token, how string) {
	sub := s.open[token]
	sub.settled = true
	claim := sub.decision.Claim
	if how == "release" {
		s.handle(sub.daemon, Release{Claim: claim})
		return
	}
	s.executions[sub.identity]++
	if n := s.executions[sub.identity]; n > 1 {
		s.t.Fatalf("identity %q was executed %d times", sub.identity, n)
	}
	if how == "lose" {
		s.handle(sub.daemon, Lose{Claim: claim})
		return
	}
	s.answers[sub.identity] = fmt.Sprint("answer", token)
	s.handle(sub.daemon, Finish{Claim: claim, Response: Response{Status: 200, Body: []byte(s.answers[sub.identity])}})
}

// kill replaces a daemon by one without memory. Its callers are gone; a request they hold a claim for may still have
// been dispatched.
func (s *simulation) kill(daemon int, dispatched bool) {
	for token, sub := range s.open {
		if sub.daemon != daemon {
			continue
		}
		if sub.decision != nil && !sub.settled && dispatched {
			s.executions[sub.identity]++
			if s.executions[sub.identity] > 1 {
				s.t.Fatalf("identity %q was executed twice", sub.identity)
			}
		}
		delete(s.open, token)
	}
	if w, ok := s.pending[daemon].(Write); ok {
		s.late = append(s.late, w)
	}
	s.pending[daemon] = nil
	s.daemons[daemon] = New(s.config)
}

// step draws and performs one action.
func (s *simulation) step() {
	daemon := rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, "daemon")
	action := rapid.SampledFrom([]string{
		"begin", "begin", "begin", "answer", "answer", "answer", "fault", "settle", "settle", "cancel", "kill", "late",
		"lapse", "tick", "tick",
	}).Draw(s.t, "action")
	switch action {
	case "begin":
		s.begin(daemon, rapid.SampledFrom(identities).Draw(s.t, "identity"))
	case "answer":
		s.answer(daemon, "")
	case "fault":
		s.answer(daemon, rapid.SampledFrom([]string{"lost", "late", "dropped", "refused", "shed"}).Draw(s.t, "fault"))
	case "settle":
		if runs := s.runs(); len(runs) > 0 {
			s.settle(rapid.SampledFrom(runs).Draw(s.t, "run"),
				rapid.SampledFrom([]string{"finish", "finish", "release", "lose"}).Draw(s.t, "how"))
		}
	case "cancel":
		if tokens := slices.Sorted(maps.Keys(s.open)); len(tokens) > 0 {
			token := rapid.SampledFrom(tokens).Draw(s.t, "cancelled")
			if sub := s.open[token]; sub.decision == nil {
				delete(s.open, token)
				s.handle(sub.daemon, Cancel{Token: token})
			}
		}
	case "kill":
		s.kill(daemon, rapid.Bool().Draw(s.t, "dispatched"))
	case "late":
		if len(s.late) > 0 {
			s.perform(s.late[0])
			s.late = s.late[1:]
		}
	case "lapse":
		// A lease may lapse before its first claim is written.
		for id := range s.leases {
			used := slices.ContainsFunc(slices.Collect(maps.Values(s.platform)), func(e entry) bool { return e.lease == id })
			s.leases[id] = used
		}
	case "tick":
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "milliseconds")) * time.Millisecond)
		s.handle(daemon, Wake{})
	}
}

// drain lets the platform answer until no daemon has work, and fails if that does not end.
func (s *simulation) drain() {
	for range 1000 {
		idle := true
		for daemon, state := range s.daemons {
			if s.pending[daemon] != nil {
				s.answer(daemon, "")
				idle = false
			}
			if next, ok := state.Next(); ok && len(state.queue) > 0 {
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

// Guards against a second execution of an identity, a replay of another answer, a second decision and a claim that is
// stuck, under lost, late and refused writes, kills, cancellations, lapsed leases and repeats on several daemons.
func TestAtMostOnceAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.step()
		}
		s.drain()
		for token, sub := range s.open {
			if sub.decision == nil {
				t.Fatalf("token %d was not decided", token)
			}
		}
		for _, state := range s.daemons {
			if state.busy || len(state.flight) > 0 || state.used(s.now) < 0 {
				t.Fatalf("state was not settled: %+v", state)
			}
			for key, it := range state.live {
				if it.stage != running {
					t.Fatalf("claim %s is stuck in stage %d", key, it.stage)
				}
			}
		}
	})
}
