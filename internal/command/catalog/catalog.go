// Package catalog is the control core of a daemon that works without leaders: it reads what the operator and the other
// daemons wrote to the platform, announces the target beside the daemon, and publishes the view that traffic reads. It is
// pure: events in, effects out.
package catalog

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// OperatorCodec reads what the operator writes and names its keys.
type OperatorCodec interface {
	KeyConfiguration() string
	PrefixOperator() string
	// IntentService returns the service whose intent a key holds.
	IntentService(key string) (model.ServiceName, bool)
	// KeyReport returns the key of the report on a service's move.
	KeyReport(service model.ServiceName) string
	DecodeConfiguration(data []byte) (*model.Configuration, error)
	DecodeIntent(data []byte, now time.Time) (model.Intent, error)
	EncodeReport(m *model.Move) ([]byte, error)
}

// RecordCodec encodes the records that daemons share.
type RecordCodec interface {
	EncodeTarget(t *model.Target) ([]byte, error)
	DecodeTarget(data []byte) (*model.Target, error)
	EncodeMove(m *model.Move) ([]byte, error)
	DecodeMove(data []byte) (*model.Move, error)
}

// Config configures a Core.
type Config struct {
	// Target describes the daemon and, once it has reported, the target beside it. State must be model.TargetStarting.
	Target model.Target
	// Seeds are peer addresses of other daemons, asked while the platform cannot be read.
	Seeds    []string
	Operator OperatorCodec
	Records  RecordCodec
	Rand     *rand.Rand
	// MinLease is the shortest lease that the platform grants.
	MinLease time.Duration
}

// Core holds all control state of a daemon. One goroutine calls it.
type Core struct {
	cfg Config

	effects     []effect.Effect
	lastRequest effect.RequestID
	storeCalls  map[effect.RequestID]func(now time.Time, r store.Result)
	sends       map[effect.RequestID]func(now time.Time, r message.Reply)

	operator source
	mesh     source
	// configuration is the operator's configuration, without versions and moves; nil before it is known. Its revision is
	// that of its entry, and deltas are the latest changes of it.
	configuration         *model.Configuration
	configurationRevision int64
	deltas                []*message.Delta
	// outgoing are the changes that are news in this step. newNumber says that the configuration is, and delta how.
	outgoing  []message.Change
	newNumber bool
	delta     *message.Delta

	intents map[model.ServiceName]*intent
	moves   map[model.ServiceName]*record
	roster  map[model.DaemonID]*member
	marks   []model.Mark

	own      own
	driving  driving
	exchange exchange
	evidence evidence
	// settleAt is when this daemon knows all others that started with it.
	settleAt time.Time
	// verifyAt is when it is this daemon's turn to list the platform's keys.
	verifyAt         time.Time
	verifyTurnNumber int64

	ready bool
	dirty bool
}

// New returns a core that knows nothing yet.
func New(cfg Config) *Core {
	c := &Core{
		cfg:        cfg,
		storeCalls: map[effect.RequestID]func(time.Time, store.Result){},
		sends:      map[effect.RequestID]func(time.Time, message.Reply){},
		intents:    map[model.ServiceName]*intent{},
		moves:      map[model.ServiceName]*record{},
		roster:     map[model.DaemonID]*member{},
		own:        own{target: cfg.Target},
		evidence:   evidence{sums: map[model.OutcomeKey]*model.OutcomeSum{}},
		dirty:      true,
	}
	c.operator = newSource(cfg.Operator.PrefixOperator(), c.applyOperator)
	c.mesh = newSource(store.PrefixMesh, c.applyMesh)
	return c
}

// Handle takes one event and returns its effects.
func (c *Core) Handle(now time.Time, ev effect.Event) []effect.Effect {
	switch ev := ev.(type) {
	case effect.Wake:
	case effect.StoreDone:
		if done := c.storeCalls[ev.Request]; done != nil {
			delete(c.storeCalls, ev.Request)
			done(now, ev.Result)
		}
	case effect.SendDone:
		if done := c.sends[ev.Request]; done != nil {
			delete(c.sends, ev.Request)
			done(now, ev.Reply)
		}
	case effect.KeyChanged:
		c.watched(now, ev)
	case effect.RequestReceived:
		c.received(now, ev)
	case effect.TargetReported:
		c.targetReported(now, ev)
	case effect.HealthChecked:
		c.targetAnswered(now, ev)
	case effect.TargetOutcomesObserved:
		c.evidence.add(ev)
	case effect.Stopping:
		c.stopping(now)
	case effect.SeedsChanged:
		c.cfg.Seeds = ev.Seeds
	}
	c.tick(now)
	if c.dirty {
		// The view comes first: an answer to a target that leaves must follow the view that stops its calls.
		effects := c.effects
		c.effects = nil
		c.publish()
		c.effects = append(c.effects, effects...)
	}
	effects := c.effects
	c.effects = nil
	return effects
}

// tick does what is due.
func (c *Core) tick(now time.Time) {
	c.follow(now, &c.operator)
	c.follow(now, &c.mesh)
	c.watchOperator(now)
	c.verifySources(now)
	c.askEarlier()
	c.announce(now)
	c.verifyRoster(now)
	c.exchangeDue(now)
	c.driveMoves(now)
	c.sendNews()
}

// NextWake returns when something is due next. What waits for an answer is not due: a wake in the past would come again
// at once, and the loop would take a whole core.
func (c *Core) NextWake() time.Time {
	next := earliest(c.operator.due(), c.mesh.due())
	next = earliest(next, c.own.due())
	if !c.exchange.pending {
		next = earliest(next, c.exchange.at)
	}
	next = earliest(next, c.verifyAt)
	if c.verifyAt.IsZero() {
		next = earliest(next, c.settleAt)
	}
	for _, m := range c.roster {
		if !m.verifying {
			next = earliest(next, m.verifyAt)
		}
	}
	return earliest(next, c.driving.due())
}

// earliest returns the earlier of two times; zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *Core) received(now time.Time, ev effect.RequestReceived) {
	var reply message.Reply
	switch body := ev.Body.(type) {
	case *message.CatalogQuery:
		reply = c.catalogReply(body)
	case *message.TargetQuery:
		reply = &message.TargetReply{Target: c.own.target}
	case *message.EvidenceQuery:
		c.driverHeard(now, body)
		reply = c.evidence.reply(now, c.own.target)
	case *message.Spread:
		c.spreadReceived(now, body)
		reply = &message.SpreadReply{Code: message.Accepted}
	case *message.Withhold:
		c.withhold(body.Marks)
		reply = &message.WithholdReply{Code: message.Accepted}
	default:
		c.count("sniperail_messages_refused", fmt.Sprintf("%T", body))
		reply = &message.WithholdReply{Code: message.Refused}
	}
	c.emit(effect.Reply{Token: ev.Token, Body: reply})
}

func (c *Core) emit(e effect.Effect) { c.effects = append(c.effects, e) }

// call sends a call to the platform and runs done with its result.
func (c *Core) call(call store.Call, done func(now time.Time, r store.Result)) {
	c.lastRequest++
	c.storeCalls[c.lastRequest] = done
	c.emit(effect.StoreCall{Request: c.lastRequest, Call: call})
}

// send sends a message to a peer and runs done with the reply, nil if there was none.
func (c *Core) send(address string, body message.Request, done func(now time.Time, r message.Reply)) {
	c.lastRequest++
	c.sends[c.lastRequest] = done
	c.emit(effect.Send{Request: c.lastRequest, Address: address, Body: body})
}

// log writes one line; pairs holds keys and values in turn.
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

// jitter returns a random time between half of d and d, so that daemons that act together spread out.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)+1))
}
