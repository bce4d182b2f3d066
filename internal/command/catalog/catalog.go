// Package catalog is the control core of sniperail-sidecar, a daemon that works without elected leaders. It replicates the
// keys that the operator and the other daemons write to the platform's store, announces the target beside the daemon, drives
// the moves of its service, and publishes the view that traffic goroutines read. It does no I/O: a Core takes events and
// returns effects.
package catalog

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// OperatorCodec decodes the values that the operator writes to the platform's store, and names their keys.
type OperatorCodec interface {
	KeyConfiguration() string
	PrefixOperator() string
	// IntentService returns the service whose intent a key holds.
	IntentService(key string) (model.ServiceName, bool)
	// KeyIntent returns the key of the operator's intent for a service.
	KeyIntent(service model.ServiceName) string
	// EvacuatedDataCentre returns the data centre that is evacuated while a key exists, whatever its value, and KeyEvacuation that key.
	EvacuatedDataCentre(key string) (model.DataCentre, bool)
	KeyEvacuation(dc model.DataCentre) string
	// KeyReport returns the key at which the state of a service's move is reported to the operator.
	KeyReport(service model.ServiceName) string
	// DecodeConfiguration also returns the entries that could not be taken as written.
	DecodeConfiguration(data []byte) (*model.Configuration, []model.Problem, error)
	DecodeIntent(data []byte, now time.Time) (model.Intent, error)
	EncodeReport(m *model.Move) ([]byte, error)
}

// RecordCodec encodes and decodes the records that the daemons share through the platform's store.
type RecordCodec interface {
	EncodeTarget(r *model.TargetRecord) ([]byte, error)
	DecodeTarget(data []byte) (*model.TargetRecord, error)
	EncodeMove(m *model.Rollout) ([]byte, error)
	DecodeMove(data []byte) (*model.Rollout, error)
}

// Config configures a Core.
type Config struct {
	// Target describes the daemon and the target beside it as known before the target's first report. State must be
	// model.TargetStarting.
	Target model.Target
	// Seeds are peer addresses of other daemons that are asked for the catalog while the platform cannot be read.
	Seeds    []string
	Operator OperatorCodec
	Records  RecordCodec
	Rand     *rand.Rand
	// MinLease is the shortest lease that the platform grants.
	MinLease time.Duration
	// FirstStart says that all daemons start for the first time, so that no target has been announced yet.
	FirstStart bool
	// Exposure bounds the calls of a new version that is not known to be good.
	Exposure rollout.ExposureLimit
	// Uptime returns the time since the machine started, including suspension. Nil reads as a clock that stands still.
	Uptime func() time.Duration
	// RevokeWithin is the age at which a configuration must not be used for API keys any more. Configurations are confirmed only if
	// it and Uptime are set.
	RevokeWithin time.Duration
	// Quota holds the figures by which the quotas of tenants are judged.
	Quota quota.Settings
}

// Core holds all control state of a daemon. It is not safe for concurrent use: one goroutine calls it.
type Core struct {
	cfg Config

	// effects are those of the event that is being processed.
	effects           []effect.Effect
	lastRequest       effect.RequestID
	pendingStoreCalls map[effect.RequestID]pendingStoreCall
	pendingSends      map[effect.RequestID]func(now time.Time, r message.Reply)

	// era is the present era of the store as far as this daemon knows. eraPending says that peers must be told at the end of this
	// event that this daemon holds its keys.
	era        store.Era
	eraPending bool
	// renewQueryPending says that a peer was asked for the keys of the present era and has not answered.
	renewQueryPending bool

	operatorKeys keyReplica
	meshKeys     keyReplica
	// configuration is the operator's configuration without versions and moves; nil until it is known. configurationRevision
	// is the revision of its entry in the store, and deltas are the latest changes to it, oldest first.
	configuration         *model.Configuration
	configurationRevision int64
	deltas                []*message.Delta
	// pendingChanges are the changes first seen during this event, which are gossiped at its end. configurationPending says
	// that the configuration changed too, and pendingDelta is that change if the previous configuration was known.
	pendingChanges       []message.Change
	configurationPending bool
	pendingDelta         *message.Delta
	// gossipAt is when changes of targets alone may be gossiped next.
	gossipAt time.Time

	// evacuated holds the data centres whose targets get no calls. The time is when that ends because a restored store has lost the
	// key; zero while the key exists.
	evacuated map[model.DataCentre]time.Time

	intents map[model.ServiceName]*intent
	moves   map[model.ServiceName]*moveRecord
	// roster holds the targets of the other daemons, and members their names in order.
	roster  map[model.DaemonID]*member
	members []model.DaemonID
	// departed holds the daemons that were removed from the roster lately.
	departed map[model.DaemonID]departedMember
	marks    []model.Mark

	// sharedRecords are the records that daemons have shared because the platform had not stored them, this daemon included.
	// pendingRecords names those first seen during this event, which are gossiped at its end.
	sharedRecords  map[model.DaemonID]sharedRecord
	pendingRecords []model.DaemonID

	local       localTarget
	driver      moveDriver
	antiEntropy antiEntropy
	outcomes    localOutcomes
	lag         lag
	freshness   freshness
	confirmer   confirmer
	quotas      quotas
	// borrower identifies this daemon to the owners of tenants.
	borrower uint64
	// settled says that this daemon can be expected to know the others; see updateSettled. loadedAt is when it had loaded all
	// keys, settledAt the time at which it counts as settled unless it learns of another daemon.
	loadedAt, settledAt time.Time
	settled             bool
	// begun says that the first event has been processed.
	begun bool
	// discovered says that the announcements were listed again because there were none at first.
	discovered bool

	// ready says that the last published view was ready, and dirty that a new view must be published.
	ready bool
	dirty bool
}

// New returns a core without a configuration, other daemons or a target report.
func New(cfg Config) *Core {
	c := &Core{
		cfg:               cfg,
		pendingStoreCalls: map[effect.RequestID]pendingStoreCall{},
		pendingSends:      map[effect.RequestID]func(time.Time, message.Reply){},
		evacuated:         map[model.DataCentre]time.Time{},
		intents:           map[model.ServiceName]*intent{},
		moves:             map[model.ServiceName]*moveRecord{},
		roster:            map[model.DaemonID]*member{},
		departed:          map[model.DaemonID]departedMember{},
		local:             localTarget{target: cfg.Target},
		outcomes:          localOutcomes{sums: map[model.OutcomeKey]*model.OutcomeSum{}},
		sharedRecords:     map[model.DaemonID]sharedRecord{},
		quotas:            quotas{tenants: map[model.TenantName]*tenantOwner{}, unlisted: !cfg.FirstStart},
		borrower:          quota.BorrowerID(cfg.Target.Daemon),
		dirty:             true,
	}
	c.startConfirming()
	c.operatorKeys = newKeyReplica(cfg.Operator.PrefixOperator(), c.applyOperatorEntry)
	c.meshKeys = newKeyReplica(store.PrefixMesh, c.applyMeshEntry)
	return c
}

// Handle processes one event and returns the effects that the caller must perform, in order.
func (c *Core) Handle(now time.Time, ev effect.Event) []effect.Effect {
	if !c.begun {
		c.begin(now)
	}
	switch ev := ev.(type) {
	case effect.Wake:
	case effect.StoreDone:
		c.handleStoreDone(now, ev)
	case effect.SendDone:
		if done := c.pendingSends[ev.Request]; done != nil {
			delete(c.pendingSends, ev.Request)
			done(now, ev.Reply)
		}
	case effect.KeyChanged:
		c.handleKeyChanged(now, ev)
	case effect.RequestReceived:
		c.handleRequest(now, ev)
	case effect.TargetReported:
		c.handleTargetReport(now, ev)
	case effect.TargetLeaving:
		c.handleTargetLeaving(now, ev)
	case effect.HealthChecked:
		c.handleHealthChecked(now, ev)
	case effect.TargetOutcomesObserved:
		c.outcomes.addOutcomes(ev)
	case effect.Stopping:
		c.handleStopping(now)
	case effect.QuotaAsked:
		c.handleQuotaAsked(now, ev)
	case effect.SeedsChanged:
		c.cfg.Seeds = ev.Seeds
	}
	c.runDueTasks(now)
	if c.dirty {
		// The view comes first: a target that reports its shutdown must be answered only after the view that stops its calls
		// is published.
		effects := c.effects
		c.effects = nil
		c.publish()
		c.effects = append(c.effects, effects...)
	}
	effects := c.effects
	c.effects = nil
	return effects
}

// begin schedules the first lists. When all daemons start for the first time, the keys are listed once the others have announced
// their targets: an earlier list would find nothing, and would have to be repeated.
func (c *Core) begin(now time.Time) {
	c.begun = true
	if c.cfg.FirstStart {
		c.operatorKeys.scheduleList(now.Add(settleDelay))
		c.meshKeys.scheduleList(now.Add(settleDelay))
	}
}

// runDueTasks starts whatever is due at this time, and gossips the changes of this event.
func (c *Core) runDueTasks(now time.Time) {
	c.askWhileBehind(now)
	c.startDueList(now, &c.operatorKeys)
	c.startDueList(now, &c.meshKeys)
	c.updateSettled(now)
	c.updateOperatorWatch()
	c.startDueCheck(now)
	c.renewConfirmation(now)
	c.applyHeldReport(now)
	c.checkPreviousTarget()
	c.maintainAnnouncement(now)
	c.removeExpiredRecords(now)
	c.shareDueRecord(now)
	c.probeUnlistedMembers(now)
	c.runAntiEntropy(now)
	c.dropKeptIntents(now)
	c.dropKeptEvacuations(now)
	c.runMoveDriver(now)
	c.gossipChanges(now)
	c.answerDueQuotas(now)
}

// NextWake returns when Handle must be called next with effect.Wake; zero means never. A task that waits for an answer has no
// wake time: a time in the past would wake the loop again at once, and the loop would keep a whole CPU busy.
func (c *Core) NextWake() time.Time {
	next := earliest(c.operatorKeys.nextWake(), c.meshKeys.nextWake())
	next = earliest(next, c.local.nextWake())
	if !c.antiEntropy.pending {
		next = earliest(next, c.antiEntropy.nextAt)
	}
	if !c.settled {
		next = earliest(next, c.settledAt)
	}
	if c.settled && c.isCurrent(&c.operatorKeys) {
		next = earliest(next, c.freshness.nextWake())
	}
	next = earliest(next, c.confirmer.wakeAt)
	next = earliest(next, c.lag.askAt)
	next = earliest(next, c.quotas.nextWake())
	if c.hasPendingTargets() {
		next = earliest(next, c.gossipAt)
	}
	for _, in := range c.intents {
		next = earliest(next, in.keptUntil)
	}
	for _, keptUntil := range c.evacuated {
		next = earliest(next, keptUntil)
	}
	for _, m := range c.roster {
		if !m.probePending {
			next = earliest(next, m.probeAt)
		}
	}
	return earliest(next, c.driver.nextWake())
}

// earliest returns the earlier of two times; zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *Core) handleRequest(now time.Time, ev effect.RequestReceived) {
	var reply message.Reply
	switch body := ev.Body.(type) {
	case *message.CatalogQuery:
		reply = c.buildCatalogReply(now, body)
	case *message.TargetQuery:
		reply = &message.TargetReply{Target: c.local.target.ForPeers(now)}
	case *message.EvidenceQuery:
		c.recordDriverQuery(now, body)
		reply = c.outcomes.evidenceReply(now, c.local.target)
	case *message.ConfirmationQuery:
		c.handleConfirmationQuery(ev.Token)
		return
	case *message.QuotaRequest:
		reply = c.handleQuotaRequest(now, body)
	case *message.Spread:
		c.handleSpread(now, body)
		reply = &message.SpreadReply{Code: message.Accepted}
	case *message.Withhold:
		c.addMarks(body.Marks)
		reply = &message.WithholdReply{Code: message.Accepted}
	default:
		c.count("sniperail_messages_refused", fmt.Sprintf("%T", body))
		reply = &message.WithholdReply{Code: message.Refused}
	}
	c.emit(effect.Reply{Token: ev.Token, Body: reply})
}

func (c *Core) emit(e effect.Effect) { c.effects = append(c.effects, e) }

// callStore sends a call to the platform's store and runs done with its result.
func (c *Core) callStore(call store.Call, done func(now time.Time, r store.Result)) {
	c.lastRequest++
	c.pendingStoreCalls[c.lastRequest] = pendingStoreCall{call.Kind, c.era.Number, done}
	c.emit(effect.StoreCall{Request: c.lastRequest, Call: call})
}

// send sends a message to a peer and runs done with the reply, which is nil if the peer did not answer.
func (c *Core) send(address string, body message.Request, done func(now time.Time, r message.Reply)) {
	c.lastRequest++
	c.pendingSends[c.lastRequest] = done
	c.emit(effect.Send{Request: c.lastRequest, Address: address, Body: body})
}

// log emits a log event; pairs holds alternating keys and values.
func (c *Core) log(event string, pairs ...string) {
	fields := make([]effect.Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, effect.Field{Key: pairs[i], Value: pairs[i+1]})
	}
	c.emit(effect.Log{Event: event, Fields: fields})
}

func (c *Core) count(counter, reason string) {
	c.emit(effect.Count{Counter: counter, Reason: reason})
}

// jitter returns a random duration between d/2 and d, so that daemons do not act at the same time.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)+1))
}
