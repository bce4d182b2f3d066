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
	// maxAttempts is the number of failed compares after which a command is refused. Changes occur about every 41 s, so
	// more than a few failed compares in a row mean that operators race in a loop.
	maxAttempts = 8
	// reconcileLimit is how long a writer tries to read after a lost response before it reports the outcome as unknown.
	reconcileLimit = 10 * time.Second
	// reconcileDelay is the mean delay between two such reads.
	reconcileDelay = 250 * time.Millisecond
	// planLifetime is the time to live of a plan, so that unconfirmed plans do not fill the store.
	planLifetime = 24 * time.Hour
)

// Codec encodes the documents that the platform stores. It is injected to keep encoding out of this package.
type Codec interface {
	EncodeConfiguration(c *model.Configuration) ([]byte, error)
	DecodeConfiguration(data []byte) (*model.Configuration, error)
	EncodePlan(p *model.Plan) ([]byte, error)
	DecodePlan(data []byte) (*model.Plan, error)
}

// Planner creates a plan for an intent or returns the reasons why there is none.
type Planner func(c *model.Configuration, intent model.Intent, now time.Time, id model.PlanID, by string) (model.Plan, []model.Problem)

// Request is a command that a Writer is to perform.
type Request struct {
	Token   effect.Token
	By      string
	Command Command
	// Fence is an additional condition of the write. The driver of moves sets it to its lease key, so that a write fails
	// once another daemon drives.
	Fence *store.Compare
}

// Response is the outcome of a Request.
type Response struct {
	Request Request
	Outcome model.Outcome
}

// Writer performs commands one at a time as compare-and-swap writes. It performs no I/O: NextCall returns the call to make
// and HandleResult processes its result. After a write whose response was lost, the writer reads the configuration and
// searches it for its write ID before it writes again.
type Writer struct {
	codec           Codec
	planner         Planner
	random          *rand.Rand
	queue           []Request
	job             *job
	callOutstanding bool
}

// NewWriter returns an idle writer.
func NewWriter(codec Codec, planner Planner, random *rand.Rand) *Writer {
	return &Writer{codec: codec, planner: planner, random: random}
}

type stage int

const (
	stageReadConfiguration stage = iota
	stageReadPlan
	stageGrantLease
	stageWrite
)

// job is the state of the command in progress.
type job struct {
	Request
	stage    stage
	writeID  string
	attempts int
	// maybeWritten means that a write without a response may have taken effect.
	maybeWritten bool
	// reconcileDeadline is when reconciliation ends, notBefore the earliest time of the next call.
	reconcileDeadline, notBefore time.Time

	configuration  *model.Configuration
	revision       int64
	plan           *model.Plan
	planEntry      store.Entry
	plans          []model.Plan
	lease          store.LeaseID
	appliedOutcome model.Outcome
}

// Submit queues a request. A withdrawal goes to the head of the queue, since a bad version gets calls until it is applied.
func (w *Writer) Submit(r Request) {
	if _, ok := r.Command.(Withdraw); ok {
		w.queue = append([]Request{r}, w.queue...)
		return
	}
	w.queue = append(w.queue, r)
}

// Idle reports whether no command is queued or in progress.
func (w *Writer) Idle() bool { return w.job == nil && len(w.queue) == 0 }

// NextWake returns when NextCall should be called again. It returns the zero time while the writer waits for a result or a
// request.
func (w *Writer) NextWake() time.Time {
	if w.job == nil || w.callOutstanding {
		return time.Time{}
	}
	return w.job.notBefore
}

// NextCall returns the next call to make, and the responses of requests that were refused before any call. It returns no
// call while a result is outstanding or a delay has not passed.
func (w *Writer) NextCall(now time.Time) (*store.Call, []Response) {
	var responses []Response
	for !w.callOutstanding {
		if w.job == nil && !w.startNextJob() {
			return nil, responses
		}
		if now.Before(w.job.notBefore) {
			return nil, responses
		}
		call, refusal := w.buildCall(now)
		if refusal != nil {
			responses = append(responses, w.finishJob(*refusal))
			continue
		}
		w.callOutstanding = true
		return call, responses
	}
	return nil, responses
}

func (w *Writer) startNextJob() bool {
	if len(w.queue) == 0 {
		return false
	}
	w.job = &job{Request: w.queue[0], writeID: w.newID()}
	w.queue = w.queue[1:]
	return true
}

func (w *Writer) newID() string { return strconv.FormatUint(w.random.Uint64(), 36) }

func (w *Writer) finishJob(outcome model.Outcome) Response {
	response := Response{Request: w.job.Request, Outcome: outcome}
	w.job = nil
	return response
}

// buildCall returns the call of the current stage, or a refusal.
func (w *Writer) buildCall(now time.Time) (*store.Call, *model.Outcome) {
	j := w.job
	switch j.stage {
	case stageReadConfiguration:
		return j.readCall(store.KeyConfiguration), nil
	case stageReadPlan:
		return j.readCall(j.planKey()), nil
	case stageGrantLease:
		return &store.Call{Kind: store.KindGrant, Priority: store.PriorityCommand, Reason: "plan-lease", TTL: planLifetime}, nil
	default:
		return w.writeCall(now)
	}
}

func (j *job) readCall(key string) *store.Call {
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

func (w *Writer) writeCall(now time.Time) (*store.Call, *model.Outcome) {
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
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: mustEncode(w.codec.EncodePlan(p)), Lease: w.job.lease})
	}
	return txn
}

func (w *Writer) changeTransaction(now time.Time) (*store.Txn, *model.Outcome) {
	j := w.job
	next, outcome := Apply(j.configuration, j.Command, j.plan, Stamp{ID: j.writeID, By: j.By, Now: now})
	if next == nil {
		return nil, &outcome
	}
	j.appliedOutcome = outcome
	txn := &store.Txn{
		Compares: []store.Compare{{Key: store.KeyConfiguration, ModRevision: j.revision}},
		Puts:     []store.Put{{Key: store.KeyConfiguration, Value: mustEncode(w.codec.EncodeConfiguration(next))}},
	}
	if j.plan != nil {
		confirmed := *j.plan
		confirmed.Confirmed = &model.Confirmation{By: j.By, At: now, Number: next.Number}
		txn.Compares = append(txn.Compares, store.Compare{Key: j.planKey(), ModRevision: j.planEntry.ModRevision})
		txn.Puts = append(txn.Puts, store.Put{
			Key: j.planKey(), Value: mustEncode(w.codec.EncodePlan(&confirmed)), Lease: j.planEntry.Lease,
		})
	}
	return txn, nil
}
