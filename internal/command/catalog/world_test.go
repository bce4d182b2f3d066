package catalog_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sniperail.example/sniperail/internal/command/catalog"
	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
	"sniperail.example/sniperail/internal/store/storetest"
)

// codec is the operator's form in these tests: the model as JSON.
type codec struct{}

func (codec) KeyConfiguration() string { return "op/configuration" }
func (codec) PrefixOperator() string   { return "op/" }
func (codec) IntentService(key string) (model.ServiceName, bool) {
	name, ok := strings.CutPrefix(key, "op/intent/")
	return model.ServiceName(name), ok
}
func (codec) KeyReport(service model.ServiceName) string { return "report/" + string(service) }
func (codec) DecodeConfiguration(data []byte) (*model.Configuration, error) {
	return document.JSON{}.DecodeConfiguration(data)
}
func (codec) DecodeIntent(data []byte, now time.Time) (model.Intent, error) {
	var in model.Intent
	err := json.Unmarshal(data, &in)
	in.By = now.Add(14 * time.Second)
	return in, err
}
func (codec) EncodeReport(m *model.Move) ([]byte, error) { return []byte(m.Phase), nil }

// node is one daemon of a world.
type node struct {
	core    *catalog.Core
	address string
	view    *model.View
	// down says that the process is dead, away that it cannot reach the platform, deaf that its watches show nothing.
	down, away, deaf bool
	watches          map[string]int64
	answers          map[effect.Token]model.Outcome
	replies          map[effect.Token]message.Reply
	tokens           effect.Token
	lists            int
	// calls counts calls to the platform by reason, and asked the evidence queries that the node sent.
	calls map[string]int
	asked int
	// received counts the changes in the replies that the node got from peers.
	received int
	// healthy is the run of the target that answers questions for its health.
	healthy model.InstanceID
	silent  []silence
}

// world runs cores against one store in simulated time. Messages and calls take no time.
type world struct {
	t       *testing.T
	now     time.Time
	store   *storetest.Memory
	nodes   map[string]*node
	order   []*node
	nextInc model.Incarnation
}

func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, now: time.Unix(50_000, 0), store: storetest.NewMemory(), nodes: map[string]*node{}}
	for i := range n {
		w.start(fmt.Sprintf("d%02d", i), nil)
	}
	return w
}

// start starts a daemon, or starts it again.
func (w *world) start(name string, seeds []string) *node {
	w.nextInc++
	n := &node{address: name + ":1", watches: map[string]int64{}, answers: map[effect.Token]model.Outcome{}, replies: map[effect.Token]message.Reply{}, calls: map[string]int{}}
	n.core = catalog.New(catalog.Config{
		Target: model.Target{
			Daemon: model.DaemonID(name), Incarnation: w.nextInc, Service: "profiles", DataCentre: model.DataCentre("dc" + name[len(name)-1:]),
			Address: name + ":2", PeerAddress: n.address, State: model.TargetStarting,
		},
		Seeds: seeds, Operator: codec{}, Records: document.JSON{}, Rand: rand.New(rand.NewPCG(uint64(w.nextInc), 3)),
		MinLease: time.Second,
	})
	if old := w.nodes[name]; old != nil {
		for i := range w.order {
			if w.order[i] == old {
				w.order[i] = n
			}
		}
	} else {
		w.order = append(w.order, n)
	}
	w.nodes[name] = n
	return n
}

func (w *world) handle(n *node, ev effect.Event) {
	for _, e := range n.core.Handle(w.now, ev) {
		w.perform(n, e)
	}
}

func (w *world) perform(n *node, e effect.Effect) {
	switch e := e.(type) {
	case effect.Publish:
		n.view = e.View
	case effect.Watch:
		n.watches[e.Key] = e.After
	case effect.Unwatch:
		delete(n.watches, e.Key)
	case effect.CheckHealth:
		w.handle(n, effect.HealthChecked{Instance: n.healthy})
	case effect.Answer:
		n.answers[e.Token] = e.Outcome
	case effect.Reply:
		n.replies[e.Token] = e.Body
	case effect.StoreCall:
		if e.Call.Kind == store.KindList {
			n.lists++
		}
		n.calls[e.Call.Reason]++
		result := store.Result{Outcome: store.Unavailable, Detail: "away"}
		if !n.away {
			result = w.store.Do(e.Call)
		}
		w.handle(n, effect.StoreDone{Request: e.Request, Result: result})
	case effect.Send:
		if _, ok := e.Body.(*message.EvidenceQuery); ok {
			n.asked++
		}
		reply, answered := w.deliver(e)
		if !answered {
			n.silent = append(n.silent, silence{w.now.Add(sendTimeout), e.Request})
			return
		}
		if catalog, ok := reply.(*message.CatalogReply); ok {
			n.received += len(catalog.Changes)
		}
		w.handle(n, effect.SendDone{Request: e.Request, Reply: reply})
	}
}

// sendTimeout is how long a message to a daemon that is down waits for an answer.
const sendTimeout = 2500 * time.Millisecond

// silence is a message without an answer, and when its sender is told.
type silence struct {
	at      time.Time
	request effect.RequestID
}

// deliver hands over a message. It reports false if the receiver is down.
func (w *world) deliver(e effect.Send) (message.Reply, bool) {
	for _, to := range w.order {
		if to.address == e.Address && !to.down {
			to.tokens++
			token := to.tokens
			w.handle(to, effect.RequestReceived{Token: token, Body: e.Body})
			return to.replies[token], true
		}
	}
	return nil, false
}

// endSilence tells a node of its messages that had no answer.
func (w *world) endSilence(n *node) {
	waiting := n.silent
	n.silent = nil
	for _, s := range waiting {
		if s.at.After(w.now) {
			n.silent = append(n.silent, s)
			continue
		}
		w.handle(n, effect.SendDone{Request: s.request})
	}
}

// run advances time.
func (w *world) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for _, n := range w.order {
			if n.down {
				continue
			}
			w.showWatches(n)
			w.endSilence(n)
			if next := n.core.NextWake(); !next.IsZero() && !next.After(w.now) {
				w.handle(n, effect.Wake{})
				if next = n.core.NextWake(); !next.IsZero() && !next.After(w.now) {
					w.t.Fatalf("%s: the control loop would spin: it wants to wake %s ago", n.address, w.now.Sub(next))
				}
			}
		}
	}
}

// showWatches delivers what changed below watched prefixes.
func (w *world) showWatches(n *node) {
	if n.deaf || n.away {
		return
	}
	for prefix, after := range n.watches {
		for _, e := range w.store.Do(store.Call{Kind: store.KindList, Key: prefix}).Entries {
			if e.ModRevision > after {
				n.watches[prefix] = max(n.watches[prefix], e.ModRevision)
				w.handle(n, effect.KeyChanged{Key: prefix, Event: store.WatchEvent{Entry: e}})
			}
		}
	}
}

// report hands a node its target's report and returns the token of the answer.
func (w *world) report(n *node, r model.TargetReport) effect.Token {
	n.tokens++
	token := n.tokens
	if r.Service == "" {
		r.Service = "profiles"
	}
	if r.Slots == 0 {
		r.Slots = 12
	}
	w.handle(n, effect.TargetReported{Token: token, Report: r})
	return token
}

// setAway cuts all daemons off from the platform, or ends that.
func (w *world) setAway(away bool) {
	for _, n := range w.order {
		n.away = away
	}
}

// put writes a key as the operator does.
func (w *world) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: key, Value: data}}}})
}

func (w *world) configure(number model.Number, prefixes ...string) {
	c := model.Configuration{Number: number, Services: []model.Service{{Name: "profiles", HealthPath: "/health"}}}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, model.Route{Name: model.RouteName("r" + p), Service: "profiles", Host: "h", PathPrefix: p})
	}
	w.put("op/configuration", c)
}

// ready starts the targets of all nodes and puts a configuration in force.
func (w *world) ready(version model.VersionName) {
	w.configure(1, "/a/")
	for i, n := range w.order {
		w.report(n, model.TargetReport{Instance: model.InstanceID(fmt.Sprint("i", i)), Born: 1, Seq: 1, Version: version, State: model.TargetReady})
	}
	w.run(6 * time.Second)
}

// numbers returns the configuration numbers in force on the nodes that run.
func (w *world) numbers() map[model.Number]int {
	numbers := map[model.Number]int{}
	for _, n := range w.order {
		if !n.down && n.view != nil {
			numbers[n.view.Configuration.Number]++
		}
	}
	return numbers
}
