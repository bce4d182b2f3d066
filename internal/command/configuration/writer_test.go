package configuration_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
	"sniperail.example/sniperail/internal/store/storetest"
	_ "sniperail.example/sniperail/internal/testseed"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

const driverValue = "driver"

func planner(
	c *model.Configuration, intent model.Intent, now time.Time, id model.PlanID, by string,
) (model.Plan, []model.Problem) {
	if c.Service(intent.Service) == nil {
		return model.Plan{}, []model.Problem{{Field: "service", Reason: "service does not exist"}}
	}
	return model.Plan{
		ID: id, Base: c.Number, Intent: intent, From: "v1", By: by, At: now,
		Steps: []model.Step{{Share: 100}, {Share: model.FullShare}},
	}, nil
}

// changeOf returns a change that declares services whose only version is v1.
func changeOf(names ...model.ServiceName) *model.Change {
	change := &model.Change{}
	for _, name := range names {
		change.Services = append(change.Services, model.Service{
			Name: name, Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}},
		})
	}
	return change
}

// run performs a request on a store without faults and returns its outcome.
func run(w *configuration.Writer, m *storetest.Memory, r configuration.Request) model.Outcome {
	w.Submit(r)
	for {
		call, responses := w.NextCall(start)
		if len(responses) == 0 && call != nil {
			responses = w.HandleResult(start, m.Do(*call))
		}
		if len(responses) > 0 {
			return responses[0].Outcome
		}
	}
}

func newWriter(seed uint64) *configuration.Writer {
	return configuration.NewWriter(document.JSON{}, planner, rand.New(rand.NewPCG(seed, seed)))
}

func storedConfiguration(t interface{ Fatal(...any) }, m *storetest.Memory) *model.Configuration {
	r := m.Do(store.Call{Kind: store.KindGet, Key: store.KeyConfiguration})
	if len(r.Entries) == 0 {
		return &model.Configuration{}
	}
	c, err := document.JSON{}.DecodeConfiguration(r.Entries[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// mustDeclare performs a declaration, which must succeed, and returns the ID of its first plan.
func mustDeclare(
	t interface{ Fatal(...any) }, w *configuration.Writer, m *storetest.Memory, by string, cmd configuration.Declare,
) model.PlanID {
	o := run(w, m, configuration.Request{By: by, Command: cmd})
	if !o.OK() {
		t.Fatal("declare refused", o)
	}
	return o.Plans[0].ID
}

// Guards against a declaration that changes traffic before it is confirmed.
func TestDeclareChangesNothing(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(1), storetest.NewMemory()
	id := mustDeclare(t, w, m, "jana", configuration.Declare{Change: changeOf("placements")})
	is.Equal(storedConfiguration(t, m).Number, model.Number(0))
	is.True(run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: id}}).OK())
	is.Equal(storedConfiguration(t, m).Number, model.Number(1))
}

// Guards against a plan that takes effect twice, or on a configuration that changed after the plan was made.
func TestConfirmRefusals(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(2), storetest.NewMemory()
	first := mustDeclare(t, w, m, "jana", configuration.Declare{Change: changeOf("placements")})
	is.Equal(run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: first}}).Code, model.OutcomeApplied)
	again := run(w, m, configuration.Request{By: "petr", Command: configuration.Confirm{Plan: first}})
	is.Equal(again.Code, model.OutcomeUnchanged)
	is.Equal(again.Number, model.Number(1))

	intent := model.Intent{Service: "placements", To: "v2", By: start.Add(time.Hour)}
	one := mustDeclare(t, w, m, "jana", configuration.Declare{Intents: []model.Intent{intent}})
	two := mustDeclare(t, w, m, "petr", configuration.Declare{Change: changeOf("placements")})
	is.True(run(w, m, configuration.Request{By: "petr", Command: configuration.Confirm{Plan: two}}).OK())
	o := run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: one}})
	is.Equal(o.Code, model.OutcomeConflict)
	for _, part := range []string{"number 1", "number 2", "petr"} {
		is.True(strings.Contains(o.Problems[0].Reason, part)) // the conflict names both numbers and the author
	}
	is.Equal(run(w, m, configuration.Request{Command: configuration.Confirm{Plan: "none"}}).Code, model.OutcomeNotFound)
}

// Guards against writing a document above the size limit of the platform.
func TestDeclareOverOneMegabyte(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(3), storetest.NewMemory()
	change := changeOf("placements")
	change.Services[0].Customer = strings.Repeat("x", model.MaxDocumentBytes)
	o := run(w, m, configuration.Request{Command: configuration.Declare{Change: change}})
	is.Equal(o.Code, model.OutcomeInvalid)
	is.Equal(len(m.Do(store.Call{Kind: store.KindList, Key: store.PrefixPlans}).Entries), 0)
}

// Guards against a driver that advances a move after its lease expired while the process was paused.
func TestStaleDriverIsFenced(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(4), storetest.NewMemory()
	move := confirmedMove(t, w, m)
	fence := takeLease(m)
	m.Expire(store.KeyDriver)
	takeLease(m)
	o := run(w, m, configuration.Request{By: "driver", Fence: &fence, Command: configuration.Advance{Move: move, From: -1, To: 0}})
	is.Equal(o.Code, model.OutcomeConflict)
	is.Equal(storedConfiguration(t, m).Move(move).Step, -1)
}

// takeLease writes the driver key and returns the condition that this key still exists.
func takeLease(m *storetest.Memory) store.Compare {
	r := m.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: store.KeyDriver, Value: []byte(driverValue)}}}})
	return store.Compare{Key: store.KeyDriver, UseCreate: true, CreateRevision: r.Revision}
}

// confirmedMove declares and confirms two services and a move of the first, and returns the ID of the move.
func confirmedMove(t interface{ Fatal(...any) }, w *configuration.Writer, m *storetest.Memory) model.PlanID {
	servicesPlan := mustDeclare(t, w, m, "jana", configuration.Declare{Change: changeOf("placements", "profiles")})
	run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: servicesPlan}})
	intent := model.Intent{Service: "placements", To: "v2", By: start.Add(time.Hour)}
	move := mustDeclare(t, w, m, "jana", configuration.Declare{Intents: []model.Intent{intent}})
	run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: move}})
	return move
}

// simulation runs several writers on one store that loses responses and applies some writes late.
type simulation struct {
	t          *rapid.T
	memory     *storetest.Memory
	writers    []*configuration.Writer
	calls      []*store.Call
	lateWrites []store.Call
	outcomes   map[string]model.Outcome
	now        time.Time
	number     model.Number
}

func (s *simulation) submit() {
	i := rapid.IntRange(0, len(s.writers)-1).Draw(s.t, "writer")
	by := fmt.Sprintf("operator-%d", len(s.outcomes))
	move := storedConfiguration(s.t, s.memory).Moves[0]
	commands := []configuration.Command{
		configuration.Pause{Move: move.ID}, configuration.Resume{Move: move.ID},
		configuration.Withdraw{Move: move.ID, Reason: "errors"},
		configuration.Advance{Move: move.ID, From: move.Step, To: move.Step + 1},
		configuration.Finish{Move: move.ID, Phase: model.PhaseDone},
		configuration.Finish{Move: move.ID, Phase: model.PhaseWithdrawn},
	}
	s.outcomes[by] = model.Outcome{}
	s.writers[i].Submit(configuration.Request{By: by, Command: rapid.SampledFrom(commands).Draw(s.t, "command")})
}

func (s *simulation) advance() {
	i := rapid.IntRange(0, len(s.writers)-1).Draw(s.t, "writer")
	if s.calls[i] == nil {
		call, responses := s.writers[i].NextCall(s.now)
		s.calls[i] = call
		s.recordResponses(responses)
		return
	}
	call := *s.calls[i]
	s.calls[i] = nil
	s.recordResponses(s.writers[i].HandleResult(s.now, s.deliver(call)))
}

func (s *simulation) deliver(call store.Call) store.Result {
	fault := rapid.SampledFrom([]string{"none", "none", "none", "lost answer", "late write", "refused"}).Draw(s.t, "fault")
	switch {
	case fault == "none":
		return s.memory.Do(call)
	case fault == "refused" || call.Kind != store.KindTxn:
		return store.Result{Outcome: store.Unavailable, Detail: fault}
	case fault == "late write":
		s.lateWrites = append(s.lateWrites, call)
	default:
		s.memory.Do(call)
	}
	return store.Result{Outcome: store.Unknown, Detail: fault}
}

func (s *simulation) recordResponses(responses []configuration.Response) {
	for _, r := range responses {
		s.outcomes[r.Request.By] = r.Outcome
	}
}

func (s *simulation) deliverLateWrite() {
	if len(s.lateWrites) > 0 {
		s.memory.Do(s.lateWrites[0])
		s.lateWrites = s.lateWrites[1:]
	}
}

// check verifies after every action that numbers grow by one, that each command took effect at most once and that the
// outcomes are true.
func (s *simulation) check() {
	c := storedConfiguration(s.t, s.memory)
	if c.Number < s.number || len(c.Validate()) > 0 {
		s.t.Fatal("number fell or configuration is invalid", c.Number, s.number, c.Validate())
	}
	s.number = c.Number
	written := map[string]int{}
	for i, stamp := range c.Recent {
		written[stamp.By]++
		if stamp.Number != c.Recent[0].Number+model.Number(i) {
			s.t.Fatal("numbers have a gap")
		}
	}
	finished := 0
	for _, ev := range c.Events {
		if ev.Kind == model.EventDone || ev.Kind == model.EventWithdrawn {
			finished++
		}
	}
	if finished > 1 {
		s.t.Fatal("a move ended twice")
	}
	for by, o := range s.outcomes {
		if written[by] > 1 {
			s.t.Fatal("a command took effect twice", by)
		}
		isWrong := o.OK() && written[by] == 0 || o.Code != "" && !o.OK() && o.Code != model.OutcomeUnknown && written[by] > 0
		if isWrong {
			s.t.Fatal("the outcome is wrong", by, o, written[by])
		}
	}
}

// Guards against writes that are applied twice after a lost response, and against refusals of writes that took effect.
func TestWriterSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, memory: storetest.NewMemory(), outcomes: map[string]model.Outcome{}, now: start}
		confirmedMove(t, newWriter(7), s.memory)
		for i := range 3 {
			s.writers = append(s.writers, newWriter(uint64(10+i)))
		}
		s.calls = make([]*store.Call, len(s.writers))
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(*rapid.T) { s.submit() },
			"advance": func(*rapid.T) { s.advance() },
			"arrive":  func(*rapid.T) { s.deliverLateWrite() },
			"wait":    func(*rapid.T) { s.now = s.now.Add(300 * time.Millisecond) },
			"":        func(*rapid.T) { s.check() },
		})
	})
}

// Guards against reporting a command as not applied while an earlier write of it can still take effect.
func TestLateWriteThenOutageIsUnknown(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(5), storetest.NewMemory()
	move := confirmedMove(t, w, m)
	w.Submit(configuration.Request{By: "jana", Command: configuration.Pause{Move: move}})
	read, _ := w.NextCall(start)
	w.HandleResult(start, m.Do(*read))
	lateWrite, _ := w.NextCall(start)
	w.HandleResult(start, store.Result{Outcome: store.Unknown})
	read, _ = w.NextCall(start)
	w.HandleResult(start, m.Do(*read))
	_, _ = w.NextCall(start)
	is.Equal(len(w.HandleResult(start, store.Result{Outcome: store.Unavailable})), 0)
	is.Equal(m.Do(*lateWrite).Outcome, store.Applied)
	now := start.Add(time.Second)
	read, _ = w.NextCall(now)
	responses := w.HandleResult(now, m.Do(*read))
	is.Equal(responses[0].Outcome.Code, model.OutcomeApplied)
}

// Guards against a step down from 100% that ends an operator's pause, and against a pause that prevents the step down.
func TestStepDownKeepsPause(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(6), storetest.NewMemory()
	move := confirmedMove(t, w, m)
	do := func(cmd configuration.Command) model.OutcomeCode {
		return run(w, m, configuration.Request{By: "driver", Command: cmd}).Code
	}
	is.Equal(do(configuration.Advance{Move: move, From: -1, To: 0}), model.OutcomeApplied)
	is.Equal(do(configuration.Advance{Move: move, From: 0, To: 1}), model.OutcomeApplied)
	is.Equal(do(configuration.Pause{Move: move}), model.OutcomeApplied)
	is.Equal(do(configuration.Advance{Move: move, From: 1, To: 0}), model.OutcomeApplied)
	is.Equal(storedConfiguration(t, m).Move(move).Phase, model.PhasePaused)
	is.Equal(do(configuration.Advance{Move: move, From: 0, To: 1}), model.OutcomeConflict)
	is.Equal(do(configuration.Resume{Move: move}), model.OutcomeApplied)
	is.Equal(storedConfiguration(t, m).Move(move).Phase, model.PhaseRunning)
}
