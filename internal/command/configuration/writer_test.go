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

const driverTerm = "driver"

func planner(c *model.Configuration, intent model.Intent, now time.Time, id model.PlanID, by string) (model.Plan, []model.Problem) {
	if c.Service(intent.Service) == nil {
		return model.Plan{}, []model.Problem{{Field: "service", Reason: "service does not exist"}}
	}
	return model.Plan{
		ID: id, Base: c.Number, Intent: intent, From: "v1", By: by, At: now,
		Steps: []model.Step{{Share: 100}, {Share: model.FullShare}},
	}, nil
}

func services(names ...model.ServiceName) *model.Change {
	change := &model.Change{}
	for _, name := range names {
		change.Services = append(change.Services, model.Service{
			Name: name, Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}},
		})
	}
	return change
}

// run performs one request to its end on a store without faults.
func run(w *configuration.Writer, m *storetest.Memory, r configuration.Request) model.Outcome {
	w.Submit(r)
	for {
		call, answers := w.Next(start)
		if len(answers) == 0 && call != nil {
			answers = w.Result(start, m.Do(*call))
		}
		if len(answers) > 0 {
			return answers[0].Outcome
		}
	}
}

func newWriter(seed uint64) *configuration.Writer {
	return configuration.NewWriter(document.JSON{}, planner, rand.New(rand.NewPCG(seed, seed)))
}

func stored(t interface{ Fatal(...any) }, m *storetest.Memory) *model.Configuration {
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

// declared returns the ID of the plan of a declaration that must succeed.
func declared(t interface{ Fatal(...any) }, w *configuration.Writer, m *storetest.Memory, by string, cmd configuration.Declare) model.PlanID {
	o := run(w, m, configuration.Request{By: by, Command: cmd})
	if !o.OK() {
		t.Fatal("declare refused", o)
	}
	return o.Plans[0].ID
}

// Guards against a declaration that changes traffic before anyone has confirmed it.
func TestDeclareChangesNothing(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(1), storetest.NewMemory()
	id := declared(t, w, m, "jana", configuration.Declare{Change: services("placements")})
	is.Equal(stored(t, m).Number, model.Number(0))
	is.True(run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: id}}).OK())
	is.Equal(stored(t, m).Number, model.Number(1))
}

// Guards against a plan that takes effect twice, or on a state that its author never saw.
func TestConfirmRefusals(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(2), storetest.NewMemory()
	first := declared(t, w, m, "jana", configuration.Declare{Change: services("placements")})
	is.Equal(run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: first}}).Code, model.OutcomeApplied)
	again := run(w, m, configuration.Request{By: "petr", Command: configuration.Confirm{Plan: first}})
	is.Equal(again.Code, model.OutcomeUnchanged)
	is.Equal(again.Number, model.Number(1))

	intent := model.Intent{Service: "placements", To: "v2", By: start.Add(time.Hour)}
	one := declared(t, w, m, "jana", configuration.Declare{Intents: []model.Intent{intent}})
	two := declared(t, w, m, "petr", configuration.Declare{Change: services("placements")})
	is.True(run(w, m, configuration.Request{By: "petr", Command: configuration.Confirm{Plan: two}}).OK())
	o := run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: one}})
	is.Equal(o.Code, model.OutcomeConflict)
	for _, part := range []string{"number 1", "number 2", "petr"} {
		is.True(strings.Contains(o.Problems[0].Reason, part)) // the conflict names both numbers and the author
	}
	is.Equal(run(w, m, configuration.Request{Command: configuration.Confirm{Plan: "none"}}).Code, model.OutcomeNotFound)
}

// Guards against a document above the size that the platform's service stores.
func TestDeclareOverOneMegabyte(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(3), storetest.NewMemory()
	change := services("placements")
	change.Services[0].Customer = strings.Repeat("x", model.MaxDocumentBytes)
	o := run(w, m, configuration.Request{Command: configuration.Declare{Change: change}})
	is.Equal(o.Code, model.OutcomeInvalid)
	is.Equal(len(m.Do(store.Call{Kind: store.KindList, Key: store.PrefixPlans}).Entries), 0)
}

// Guards against a driver that was paused past its lease and still advances a move.
func TestStaleDriverIsFenced(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(4), storetest.NewMemory()
	move := confirmedMove(t, w, m)
	fence := takeLease(m)
	m.Expire(store.KeyDriver)
	takeLease(m)
	o := run(w, m, configuration.Request{By: "driver", Fence: &fence, Command: configuration.Advance{Move: move, From: -1, To: 0}})
	is.Equal(o.Code, model.OutcomeConflict)
	is.Equal(stored(t, m).Move(move).Step, -1)
}

func takeLease(m *storetest.Memory) store.Compare {
	r := m.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: store.KeyDriver, Value: []byte(driverTerm)}}}})
	return store.Compare{Key: store.KeyDriver, UseCreate: true, CreateRevision: r.Revision}
}

func confirmedMove(t interface{ Fatal(...any) }, w *configuration.Writer, m *storetest.Memory) model.PlanID {
	mesh := declared(t, w, m, "jana", configuration.Declare{Change: services("placements", "profiles")})
	run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: mesh}})
	intent := model.Intent{Service: "placements", To: "v2", By: start.Add(time.Hour)}
	move := declared(t, w, m, "jana", configuration.Declare{Intents: []model.Intent{intent}})
	run(w, m, configuration.Request{By: "jana", Command: configuration.Confirm{Plan: move}})
	return move
}

// history drives several writers on one store whose answers get lost, with writes that take effect late.
type history struct {
	t       *rapid.T
	memory  *storetest.Memory
	writers []*configuration.Writer
	calls   []*store.Call
	late    []store.Call
	answers map[string]model.Outcome
	now     time.Time
	number  model.Number
}

func (h *history) submit() {
	i := rapid.IntRange(0, len(h.writers)-1).Draw(h.t, "writer")
	by := fmt.Sprintf("operator-%d", len(h.answers))
	move := stored(h.t, h.memory).Moves[0]
	commands := []configuration.Command{
		configuration.Pause{Move: move.ID}, configuration.Resume{Move: move.ID},
		configuration.Withdraw{Move: move.ID, Reason: "errors"},
		configuration.Advance{Move: move.ID, From: move.Step, To: move.Step + 1},
		configuration.Finish{Move: move.ID, Phase: model.PhaseDone},
		configuration.Finish{Move: move.ID, Phase: model.PhaseWithdrawn},
	}
	h.answers[by] = model.Outcome{}
	h.writers[i].Submit(configuration.Request{By: by, Command: rapid.SampledFrom(commands).Draw(h.t, "command")})
}

func (h *history) advance() {
	i := rapid.IntRange(0, len(h.writers)-1).Draw(h.t, "writer")
	if h.calls[i] == nil {
		call, answers := h.writers[i].Next(h.now)
		h.calls[i] = call
		h.record(answers)
		return
	}
	call := *h.calls[i]
	h.calls[i] = nil
	h.record(h.writers[i].Result(h.now, h.deliver(call)))
}

func (h *history) deliver(call store.Call) store.Result {
	fault := rapid.SampledFrom([]string{"none", "none", "none", "lost answer", "late write", "refused"}).Draw(h.t, "fault")
	switch {
	case fault == "none":
		return h.memory.Do(call)
	case fault == "refused" || call.Kind != store.KindTxn:
		return store.Result{Outcome: store.Unavailable, Detail: fault}
	case fault == "late write":
		h.late = append(h.late, call)
	default:
		h.memory.Do(call)
	}
	return store.Result{Outcome: store.Unknown, Detail: fault}
}

func (h *history) record(answers []configuration.Answer) {
	for _, a := range answers {
		h.answers[a.Request.By] = a.Outcome
	}
}

func (h *history) arrive() {
	if len(h.late) > 0 {
		h.memory.Do(h.late[0])
		h.late = h.late[1:]
	}
}

// check holds after every step: numbers grow by one, each command took effect at most once, answers are true.
func (h *history) check() {
	c := stored(h.t, h.memory)
	if c.Number < h.number || len(c.Validate()) > 0 {
		h.t.Fatal("number fell or configuration is invalid", c.Number, h.number, c.Validate())
	}
	h.number = c.Number
	written := map[string]int{}
	for i, stamp := range c.Recent {
		written[stamp.By]++
		if stamp.Number != c.Recent[0].Number+model.Number(i) {
			h.t.Fatal("numbers have a gap")
		}
	}
	finished := 0
	for _, ev := range c.Events {
		if ev.Kind == model.EventDone || ev.Kind == model.EventWithdrawn {
			finished++
		}
	}
	if finished > 1 {
		h.t.Fatal("a move ended twice")
	}
	for by, o := range h.answers {
		if written[by] > 1 {
			h.t.Fatal("a command took effect twice", by)
		}
		untrue := o.OK() && written[by] == 0 || o.Code != "" && !o.OK() && o.Code != model.OutcomeUnknown && written[by] > 0
		if untrue {
			h.t.Fatal("the answer is not true", by, o, written[by])
		}
	}
}

// Guards against writes that are applied twice after a lost answer, and against refusals of writes that took effect.
func TestWriterHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, memory: storetest.NewMemory(), answers: map[string]model.Outcome{}, now: start}
		confirmedMove(t, newWriter(7), h.memory)
		for i := range 3 {
			h.writers = append(h.writers, newWriter(uint64(10+i)))
		}
		h.calls = make([]*store.Call, len(h.writers))
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(*rapid.T) { h.submit() },
			"advance": func(*rapid.T) { h.advance() },
			"arrive":  func(*rapid.T) { h.arrive() },
			"wait":    func(*rapid.T) { h.now = h.now.Add(300 * time.Millisecond) },
			"":        func(*rapid.T) { h.check() },
		})
	})
}

// Guards against a refusal as "not applied" while an earlier write of the same command is still on its way.
func TestLateWriteThenOutageIsUnknown(t *testing.T) {
	is := is.New(t)
	w, m := newWriter(5), storetest.NewMemory()
	move := confirmedMove(t, w, m)
	w.Submit(configuration.Request{By: "jana", Command: configuration.Pause{Move: move}})
	read, _ := w.Next(start)
	w.Result(start, m.Do(*read))
	late, _ := w.Next(start)
	w.Result(start, store.Result{Outcome: store.Unknown})
	read, _ = w.Next(start)
	w.Result(start, m.Do(*read))
	_, _ = w.Next(start)
	is.Equal(len(w.Result(start, store.Result{Outcome: store.Unavailable})), 0)
	is.Equal(m.Do(*late).Outcome, store.Applied)
	now := start.Add(time.Second)
	read, _ = w.Next(now)
	answers := w.Result(now, m.Do(*read))
	is.Equal(answers[0].Outcome.Code, model.OutcomeApplied)
}

// Guards against a step down at 100% that ends an operator's pause, or that a pause prevents.
func TestStepDownKeepsThePause(t *testing.T) {
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
	is.Equal(stored(t, m).Move(move).Phase, model.PhasePaused)
	is.Equal(do(configuration.Advance{Move: move, From: 0, To: 1}), model.OutcomeConflict)
	is.Equal(do(configuration.Resume{Move: move}), model.OutcomeApplied)
	is.Equal(stored(t, m).Move(move).Phase, model.PhaseRunning)
}
