package catalog_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/command/catalog"
	"sniperail.example/sniperail/internal/command/confirmation"
	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
	"sniperail.example/sniperail/internal/store/storetest"
)

// operatorCodec encodes the operator's values as JSON of the model types.
type operatorCodec struct{}

func (operatorCodec) KeyConfiguration() string { return "op/configuration" }
func (operatorCodec) PrefixOperator() string   { return "op/" }
func (operatorCodec) IntentService(key string) (model.ServiceName, bool) {
	name, ok := strings.CutPrefix(key, "op/intent/")
	return model.ServiceName(name), ok
}
func (operatorCodec) KeyIntent(service model.ServiceName) string {
	return "op/intent/" + string(service)
}
func (operatorCodec) KeyReport(service model.ServiceName) string { return "report/" + string(service) }
func (operatorCodec) DecodeConfiguration(data []byte) (*model.Configuration, []model.Problem, error) {
	c, err := document.JSON{}.DecodeConfiguration(data)
	return c, nil, err
}
func (operatorCodec) DecodeIntent(data []byte, now time.Time) (model.Intent, error) {
	var in model.Intent
	err := json.Unmarshal(data, &in)
	in.By = now.Add(14 * time.Second)
	return in, err
}
func (operatorCodec) EncodeReport(m *model.Move) ([]byte, error) { return []byte(m.Phase), nil }

// node is one daemon of a simulation.
type node struct {
	core    *catalog.Core
	address string
	view    *model.View
	// stopped says that the process is dead or paused, platformUnreachable that it cannot reach the platform, peersUnreachable
	// that it cannot reach any peer, and watchesSilent that its watches deliver no events.
	stopped, platformUnreachable, peersUnreachable, watchesSilent bool

	watches   map[string]int64
	answers   map[effect.Token]model.Outcome
	replies   map[effect.Token]message.Reply
	askers    map[effect.Token]asker
	inbox     []delayedMessage
	quotas    map[effect.Token]effect.ReturnQuota
	lastToken effect.Token
	listCalls int
	// storeCalls counts calls to the platform's store by reason, and evidenceQueries the evidence queries that the node sent.
	storeCalls      map[string]int
	evidenceQueries int
	// catalogQueries counts the catalog queries that the node sent, and spreadsSent its gossip messages.
	catalogQueries, spreadsSent int
	// changesReceived counts the changes in the catalog replies that the node received.
	changesReceived int
	// recordsReceived counts the announcements that the platform had not stored and the node received from peers.
	recordsReceived int
	// healthyInstance is the instance with which the target answers health checks; health is the whole answer if it is empty.
	healthyInstance model.InstanceID
	health          effect.HealthChecked
	unanswered      []unansweredRequest
	logs            []effect.Log
	// silentPeers holds the addresses to which this node's connection has gone silent: the next message there is lost. The next
	// silentStoreCalls calls to the platform get no response.
	silentPeers      map[string]bool
	silentStoreCalls int
	// responseDelay is the time from a call to the platform, which takes effect at once, to its response.
	responseDelay time.Duration
	// knownRestores is the number of restores of the store before the latest response that the node has received.
	knownRestores int
	// replyDelay is the time from a message to a peer, which is handled at once, to its reply.
	replyDelay time.Duration
	// confirmed is the time at which the configuration was confirmed, on the clock of the node.
	confirmed           time.Duration
	confirmationQueries int
	// highestNumber is the highest configuration number that was in force.
	highestNumber model.Number
}

// simulation runs cores against one store in simulated time. Messages and store calls take no time.
type simulation struct {
	t           failer
	now         time.Time
	store       *storetest.Memory
	byName      map[string]*node
	nodes       []*node
	incarnation model.Incarnation
	// firstStart says that daemons start for the first time.
	firstStart bool
	// era is that of the store, which its responses name; 0 if they name none. leases are the leases that the store has granted; nil if
	// leases do not end.
	era, restores int
	leases        map[store.LeaseID]simulatedLease
	// zeroBased says that the store names its first era 0.
	zeroBased bool
	// lastWriter is the node that has written the record of a move last.
	lastWriter *node
	// latency is the time from a message to a peer until it is handled; 0 if it is handled at once, before the sender goes on.
	latency time.Duration
	// revokeWithin is the age of a configuration at which nodes stop using API keys; 0 if they confirm none.
	revokeWithin time.Duration
	// depth is the number of events that are being handled, each caused by the one before.
	depth int
}

// maxDepth bounds the chain of events of which each causes the next one at the same time. Gossip among hundreds of daemons is one.
const maxDepth = 20_000

// failer ends a test; both *testing.T and *rapid.T do.
type failer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func newSimulation(t failer, n int) *simulation { return startSimulation(t, n, false) }

func startSimulation(t failer, n int, firstStart bool) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(50_000, 0), store: storetest.NewMemory(), byName: map[string]*node{}, firstStart: firstStart,
	}
	for i := range n {
		sim.start(fmt.Sprintf("d%02d", i), nil)
	}
	return sim
}

// start starts or restarts a daemon.
func (sim *simulation) start(name string, seeds []string) *node {
	return sim.startAt(name, name+":1", seeds)
}

// startAt starts a daemon at an address, which may be that of a lost one.
func (sim *simulation) startAt(name, address string, seeds []string) *node {
	sim.incarnation++
	n := &node{
		address: address, watches: map[string]int64{}, answers: map[effect.Token]model.Outcome{},
		replies: map[effect.Token]message.Reply{}, storeCalls: map[string]int{}, askers: map[effect.Token]asker{}, confirmed: confirmation.Never,
		quotas: map[effect.Token]effect.ReturnQuota{},
	}
	n.core = catalog.New(catalog.Config{
		Target: model.Target{
			Daemon: model.DaemonID(name), Incarnation: sim.incarnation, Service: "profiles",
			DataCentre: model.DataCentre("dc" + name[len(name)-1:]),
			Address:    name + ":2", PeerAddress: n.address, State: model.TargetStarting,
		},
		Seeds: seeds, Operator: operatorCodec{}, Records: document.JSON{}, Rand: rand.New(rand.NewPCG(uint64(sim.incarnation), 3)),
		MinLease: time.Second, FirstStart: sim.firstStart, Exposure: rollout.ExposureLimit{Fraction: 0.1, Slack: 50},
		RevokeWithin: sim.revokeWithin, Quota: quotaSettings, Uptime: sim.clock,
	})
	if old := sim.byName[name]; old != nil {
		for i := range sim.nodes {
			if sim.nodes[i] == old {
				sim.nodes[i] = n
			}
		}
	} else {
		sim.nodes = append(sim.nodes, n)
	}
	sim.byName[name] = n
	return n
}

// clock is the clock of all nodes that counts suspension.
func (sim *simulation) clock() time.Duration { return sim.now.Sub(time.Unix(49_000, 0)) }

func (sim *simulation) handle(n *node, ev effect.Event) {
	if sim.depth++; sim.depth > maxDepth {
		sim.t.Fatalf("%s repeats a call or a message without a pause: %+v", n.address, ev)
	}
	known := n.knownRestores
	effects := n.core.Handle(sim.now, ev)
	confirms := false
	for _, e := range effects {
		// Calls and messages may be answered at once, which handles later events before the effects that follow.
		switch e := e.(type) {
		case effect.Confirm:
			n.confirmed, confirms = e.At, true
		case effect.Publish:
			if confirms {
				sim.t.Fatalf("%s: a configuration is confirmed before it is published", n.address)
			}
		}
	}
	for _, e := range effects {
		sim.performEffect(n, e, known)
	}
	sim.depth--
}

func (sim *simulation) performEffect(n *node, e effect.Effect, knownRestores int) {
	switch e := e.(type) {
	case effect.Publish:
		n.view = e.View
		if number := e.View.Configuration.Number; number < n.highestNumber {
			sim.t.Fatalf("%s: configuration %d is in force after %d", n.address, number, n.highestNumber)
		}
		n.highestNumber = max(n.highestNumber, e.View.Configuration.Number)
	case effect.Log:
		n.logs = append(n.logs, e)
	case effect.Watch:
		n.watches[e.Key] = e.After
	case effect.Unwatch:
		delete(n.watches, e.Key)
	case effect.CheckHealth:
		if n.healthyInstance != "" {
			n.health = effect.HealthChecked{Instance: n.healthyInstance, WarmupKnown: true}
		}
		sim.handle(n, n.health)
	case effect.Answer:
		n.answers[e.Token] = e.Outcome
	case effect.Reply:
		n.replies[e.Token] = e.Body
		if asked, ok := n.askers[e.Token]; ok {
			delete(n.askers, e.Token)
			sim.returnReply(asked.from, asked.request, e.Body)
		}
	case effect.ReturnQuota:
		n.quotas[e.Token] = e
	case effect.StoreCall:
		if e.Call.Kind == store.KindList {
			n.listCalls++
		}
		n.storeCalls[e.Call.Reason]++
		if n.silentStoreCalls > 0 {
			n.silentStoreCalls--
			n.unanswered = append(n.unanswered, unansweredRequest{
				sim.now.Add(storeCallTimeout), effect.StoreDone{Request: e.Request, Result: store.Result{Outcome: store.Unavailable}},
			})
			return
		}
		result := store.Result{Outcome: store.Unavailable, Detail: "platform unreachable"}
		if !n.platformUnreachable {
			result = sim.callStore(n, e.Call, knownRestores)
			n.knownRestores = sim.restores
		}
		done := effect.StoreDone{Request: e.Request, Result: result}
		if n.responseDelay > 0 {
			n.unanswered = append(n.unanswered, unansweredRequest{sim.now.Add(n.responseDelay), done})
			return
		}
		sim.handle(n, done)
	case effect.Send:
		if _, ok := e.Body.(*message.EvidenceQuery); ok {
			n.evidenceQueries++
		}
		if _, ok := e.Body.(*message.CatalogQuery); ok {
			n.catalogQueries++
		}
		if _, ok := e.Body.(*message.Spread); ok {
			n.spreadsSent++
		}
		if _, ok := e.Body.(*message.ConfirmationQuery); ok {
			n.confirmationQueries++
		}
		sim.deliver(n, e)
	}
}

// run advances the simulated time.
func (sim *simulation) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(step) {
		sim.expireLeases()
		for _, n := range sim.nodes {
			if n.stopped {
				continue
			}
			sim.deliverWatchEvents(n)
			sim.failUnanswered(n)
			sim.receiveDue(n)
			if next := n.core.NextWake(); !next.IsZero() && !next.After(sim.now) {
				sim.handle(n, effect.Wake{})
				if next = n.core.NextWake(); !next.IsZero() && !next.After(sim.now) {
					sim.t.Fatalf("%s: the control loop would busy-loop: its next wake is %s in the past", n.address, sim.now.Sub(next))
				}
			}
		}
	}
}

// deliverWatchEvents delivers the changes below the prefixes that a node watches.
func (sim *simulation) deliverWatchEvents(n *node) {
	if n.watchesSilent || n.platformUnreachable {
		return
	}
	for prefix, after := range n.watches {
		for _, e := range sim.store.Do(store.Call{Kind: store.KindList, Key: prefix}).Entries {
			if e.ModRevision > after {
				n.watches[prefix] = max(n.watches[prefix], e.ModRevision)
				sim.handle(n, effect.KeyChanged{Key: prefix, Event: store.WatchEvent{Entry: e, Era: sim.eraName()}})
			}
		}
	}
}

// report hands a report of the local target to a node, and returns the token of the answer.
func (sim *simulation) report(n *node, r model.TargetReport) effect.Token {
	n.lastToken++
	token := n.lastToken
	if r.Service == "" {
		r.Service = "profiles"
	}
	if r.Slots == 0 {
		r.Slots = 12
	}
	sim.handle(n, effect.TargetReported{Token: token, Report: r})
	return token
}

// silenceConnections makes all connections of a node go silent: to and from its peers, and to the platform.
func (sim *simulation) silenceConnections(n *node) {
	n.silentStoreCalls = 1
	n.silentPeers = map[string]bool{}
	for _, peer := range sim.nodes {
		if peer == n {
			continue
		}
		n.silentPeers[peer.address] = true
		if peer.silentPeers == nil {
			peer.silentPeers = map[string]bool{}
		}
		peer.silentPeers[n.address] = true
	}
}

// setPlatformOutage starts or ends an outage of the platform for all daemons.
func (sim *simulation) setPlatformOutage(outage bool) {
	for _, n := range sim.nodes {
		n.platformUnreachable = outage
	}
}

// put writes one of the operator's keys.
func (sim *simulation) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.store.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: key, Value: data}}}})
}

func (sim *simulation) configure(number model.Number, prefixes ...string) {
	c := model.Configuration{Number: number, Services: []model.Service{{Name: "profiles", HealthPath: "/health"}}}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, model.Route{Name: model.RouteName("r" + p), Service: "profiles", Host: "h", PathPrefix: p})
	}
	sim.put("op/configuration", c)
}

// startTargets starts the targets of all nodes and puts a configuration in force.
func (sim *simulation) startTargets(version model.VersionName) {
	sim.configure(1, "/a/")
	for i := range sim.nodes {
		sim.startTarget(i, version)
	}
	sim.run(6 * time.Second)
}

// startTarget hands the first report of a ready target to the node with the given index.
func (sim *simulation) startTarget(i int, version model.VersionName) {
	sim.report(sim.nodes[i], model.TargetReport{
		Instance: model.InstanceID(fmt.Sprint("i", i)), Born: 1, Seq: 1, Version: version, State: model.TargetReady,
	})
}

// configurationNumbers counts the running nodes by the configuration number in force on them.
func (sim *simulation) configurationNumbers() map[model.Number]int {
	numbers := map[model.Number]int{}
	for _, n := range sim.nodes {
		if !n.stopped && n.view != nil {
			numbers[n.view.Configuration.Number]++
		}
	}
	return numbers
}
