package configuration

import (
	"math/rand/v2"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

const (
	// maxAttempts bounds the writes of one command that lost a compare. Changes come about every 41 s, so more than a
	// few lost compares in a row mean that operators race in a loop.
	maxAttempts = 8
	// reconcileLimit is how long a writer tries to read after a lost answer before it reports the outcome as unknown.
	reconcileLimit = 10 * time.Second
	// reconcileDelay is the mean wait between two such reads.
	reconcileDelay = 250 * time.Millisecond
	// planLifetime is how long a plan is kept, so that unconfirmed plans do not fill the store.
	planLifetime = 24 * time.Hour
)

// Codec encodes what the platform's service stores. It is injected, since decision code encodes nothing.
type Codec interface {
	EncodeConfiguration(c *model.Configuration) ([]byte, error)
	DecodeConfiguration(data []byte) (*model.Configuration, error)
	EncodePlan(p *model.Plan) ([]byte, error)
	DecodePlan(data []byte) (*model.Plan, error)
}

// Planner answers an intent with a plan or with the reasons against it.
type Planner func(c *model.Configuration, intent model.Intent, now time.Time, id model.PlanID, by string) (model.Plan, []model.Problem)

// Request is a command on its way to the platform's service.
type Request struct {
	Token   effect.Token
	By      string
	Command Command
	// Fence must hold together with the write; the driver of moves sets it to its lease key.
	Fence *store.Compare
}

// Answer ends a Request.
type Answer struct {
	Request Request
	Outcome model.Outcome
}

// Writer performs commands one at a time as compare-and-swap writes. It makes no call itself: Next returns the call to
// make and Result takes its result. A write whose answer was lost is never repeated blindly: the writer reads first and
// looks for its write ID.
type Writer struct {
	codec   Codec
	planner Planner
	random  *rand.Rand
	queue   []Request
	job     *job
	waiting bool
}

// NewWriter returns an idle writer.
func NewWriter(codec Codec, planner Planner, random *rand.Rand) *Writer {
	return &Writer{codec: codec, planner: planner, random: random}
}

type stage int

const (
	stageReadConfiguration stage = iota
	stageReadPlan
	stageGrant
	stageWrite
)

// job is the command in progress.
type job struct {
	Request
	stage    stage
	writeID  string
	attempts int
	// sent says that a write may have taken effect without an answer.
	sent bool
	// giveUp ends the reconciliation; notBefore delays the next call.
	giveUp, notBefore time.Time

	configuration *model.Configuration
	revision      int64
	plan          *model.Plan
	planEntry     store.Entry
	plans         []model.Plan
	lease         store.LeaseID
	applied       model.Outcome
}

// Submit queues a request. A withdrawal goes ahead of the queue, since a bad version keeps receiving calls meanwhile.
func (w *Writer) Submit(r Request) {
	if _, ok := r.Command.(Withdraw); ok {
		w.queue = append([]Request{r}, w.queue...)
		return
	}
	w.queue = append(w.queue, r)
}

// Idle reports whether no command is queued or in progress.
func (w *Writer) Idle() bool { return w.job == nil && len(w.queue) == 0 }

// NextWake returns when Next should be called again, or the zero time if it waits for a result or a request.
func (w *Writer) NextWake() time.Time {
	if w.job == nil || w.waiting {
		return time.Time{}
	}
	return w.job.notBefore
}

// Next returns the next call to make, and answers of requests that were refused before any call. It returns no call while a result is
// outstanding or a delay runs.
func (w *Writer) Next(now time.Time) (*store.Call, []Answer) {
	var answers []Answer
	for !w.waiting {
		if w.job == nil && !w.start() {
			return nil, answers
		}
		if now.Before(w.job.notBefore) {
			return nil, answers
		}
		call, refusal := w.call(now)
		if refusal != nil {
			answers = append(answers, w.end(*refusal))
			continue
		}
		w.waiting = true
		return call, answers
	}
	return nil, answers
}

func (w *Writer) start() bool {
	if len(w.queue) == 0 {
		return false
	}
	w.job = &job{Request: w.queue[0], writeID: w.id()}
	w.queue = w.queue[1:]
	return true
}

func (w *Writer) id() string { return strconv.FormatUint(w.random.Uint64(), 36) }

func (w *Writer) end(outcome model.Outcome) Answer {
	answer := Answer{Request: w.job.Request, Outcome: outcome}
	w.job = nil
	return answer
}

// call builds the call of the present stage.
func (w *Writer) call(now time.Time) (*store.Call, *model.Outcome) {
	j := w.job
	switch j.stage {
	case stageReadConfiguration:
		return j.read(store.KeyConfiguration), nil
	case stageReadPlan:
		return j.read(j.planKey()), nil
	case stageGrant:
		return &store.Call{Kind: store.KindGrant, Priority: store.PriorityCommand, Reason: "plan-lease", TTL: planLifetime}, nil
	default:
		return w.write(now)
	}
}

func (j *job) read(key string) *store.Call {
	return &store.Call{Kind: store.KindGet, Priority: j.priority(), Reason: "command-read", Key: key}
}

func (j *job) priority() store.Priority {
	if _, ok := j.Command.(Withdraw); ok {
		return store.PriorityWithdraw
	}
	return store.PriorityCommand
}

func (j *job) planKey() string {
	if cmd, ok := j.Command.(Confirm); ok {
		return store.PrefixPlans + string(cmd.Plan)
	}
	return store.PrefixPlans + string(j.plans[0].ID)
}

func (w *Writer) write(now time.Time) (*store.Call, *model.Outcome) {
	txn, refusal := w.transaction(now)
	if refusal != nil {
		return nil, refusal
	}
	if w.job.Fence != nil {
		txn.Compares = append(txn.Compares, *w.job.Fence)
	}
	for _, p := range txn.Puts {
		if len(p.Value) > model.MaxDocumentBytes {
			o := model.Refused(model.OutcomeInvalid, p.Key, "the document has "+strconv.Itoa(len(p.Value))+
				" bytes; the platform's service holds at most "+strconv.Itoa(model.MaxDocumentBytes))
			return nil, &o
		}
	}
	return &store.Call{Kind: store.KindTxn, Priority: w.job.priority(), Reason: "command-write", Txn: *txn}, nil
}

func (w *Writer) transaction(now time.Time) (*store.Txn, *model.Outcome) {
	if _, ok := w.job.Command.(Declare); ok {
		return w.declareTransaction(), nil
	}
	return w.changeTransaction(now)
}

func (w *Writer) declareTransaction() *store.Txn {
	txn := &store.Txn{}
	for i := range w.job.plans {
		p := &w.job.plans[i]
		key := store.PrefixPlans + string(p.ID)
		txn.Compares = append(txn.Compares, store.Compare{Key: key})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: encoded(w.codec.EncodePlan(p)), Lease: w.job.lease})
	}
	return txn
}

func (w *Writer) changeTransaction(now time.Time) (*store.Txn, *model.Outcome) {
	j := w.job
	next, outcome := Apply(j.configuration, j.Command, j.plan, Stamp{ID: j.writeID, By: j.By, Now: now})
	if next == nil {
		return nil, &outcome
	}
	j.applied = outcome
	txn := &store.Txn{
		Compares: []store.Compare{{Key: store.KeyConfiguration, ModRevision: j.revision}},
		Puts:     []store.Put{{Key: store.KeyConfiguration, Value: encoded(w.codec.EncodeConfiguration(next))}},
	}
	if j.plan != nil {
		confirmed := *j.plan
		confirmed.Confirmed = &model.Confirmation{By: j.By, At: now, Number: next.Number}
		txn.Compares = append(txn.Compares, store.Compare{Key: j.planKey(), ModRevision: j.planEntry.ModRevision})
		txn.Puts = append(txn.Puts, store.Put{
			Key: j.planKey(), Value: encoded(w.codec.EncodePlan(&confirmed)), Lease: j.planEntry.Lease,
		})
	}
	return txn, nil
}
