package controller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/command/controller"
	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/testseed"
)

// mesh is a fleet of daemons with controllers. It records their responses and the driver's writes.
type mesh struct {
	*fleet.Fleet
	t         *testing.T
	responses map[effect.Token]model.Outcome
	token     effect.Token
	// changes lists the driver's writes by command and outcome.
	changes []string
}

// newMesh starts daemons of one service in three data centres. Half of them run v1, the others v2.
func newMesh(t *testing.T, perCentre int) *mesh {
	m := &mesh{
		Fleet: fleet.New(rand.New(rand.NewPCG(testseed.Seed(), 1))), t: t,
		responses: map[effect.Token]model.Outcome{},
	}
	m.Extend = func(a *agent.Agent) { controller.New(a, document.JSON{}) }
	m.OnEffect = m.recordEffect
	for dc := range 3 {
		for i := range perCentre {
			m.Add(model.Target{
				Daemon: model.DaemonID(fmt.Sprintf("d%d-%d", dc, i)), DataCentre: model.DataCentre(fmt.Sprintf("dc%d", dc)),
				Region: "r", Service: "placements", Version: model.VersionName(fmt.Sprintf("v%d", 1+i%2)),
				PeerAddress: fmt.Sprintf("10.0.%d.%d:1", dc, i), Address: fmt.Sprintf("10.0.%d.%d:2", dc, i),
				Slots: 12, Connections: 130, State: model.TargetReady,
			}, nil)
		}
	}
	for _, n := range m.Nodes {
		n.Boot()
	}
	m.Run(15 * time.Second)
	return m
}

// newMovingMesh returns a mesh in which a move to v2 was just confirmed after 10 s of calls.
func newMovingMesh(t *testing.T) *mesh {
	m := newMesh(t, 4)
	m.declareService()
	m.reportCalls(10*time.Second, 30, "")
	m.confirm(m.Nodes[5], intent)
	return m
}

// recordEffect records responses and the driver's writes.
func (m *mesh) recordEffect(_ *fleet.Node, e effect.Effect) {
	switch e := e.(type) {
	case effect.Answer:
		m.responses[e.Token] = e.Outcome
	case effect.Log:
		if e.Event == "move changed" {
			m.changes = append(m.changes, e.Fields[1].Value+" "+e.Fields[2].Value)
		}
	}
}

// submit sends a command to a daemon and returns its outcome.
func (m *mesh) submit(n *fleet.Node, by string, cmd configuration.Command) model.Outcome {
	m.token++
	token := m.token
	n.Handle(effect.CommandSubmitted{Token: token, By: by, Command: cmd})
	for range 40 {
		if o, ok := m.responses[token]; ok {
			return o
		}
		m.Run(500 * time.Millisecond)
	}
	m.t.Fatalf("command %T got no response", cmd)
	return model.Outcome{}
}

func (m *mesh) confirm(n *fleet.Node, cmd configuration.Declare) model.PlanID {
	declared := m.submit(n, "jana", cmd)
	if !declared.OK() {
		m.t.Fatal("declare refused", declared)
	}
	id := declared.Plans[0].ID
	if o := m.submit(n, "jana", configuration.Confirm{Plan: id}); !o.OK() {
		m.t.Fatal("confirm refused", o)
	}
	return id
}

func (m *mesh) declareService() {
	m.confirm(m.Nodes[0], configuration.Declare{Change: &model.Change{
		Services: []model.Service{{Name: "placements", Versions: []model.VersionShare{
			{Version: "v1", Share: model.FullShare}, {Version: "v2"},
		}}},
		Routes: []model.Route{{Name: "placements", Service: "placements", PathPrefix: "/placements"}},
	}})
	m.Run(5 * time.Second)
}

// reportCalls reports outcomes of calls to every live daemon, as its traffic goroutines would, at the shares of its
// configuration.
func (m *mesh) reportCalls(d time.Duration, rate float64, failing model.VersionName) {
	const batch = 250 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += batch {
		for _, n := range m.Nodes {
			if n.Alive && !n.Frozen && n.View != nil && n.View.Ready {
				n.Handle(effect.OutcomesObserved{Sums: m.batch(n.View, rate*batch.Seconds(), failing)})
			}
		}
		m.Run(batch)
	}
}

// batch draws the outcomes of one batch of calls. All calls of the failing version fail.
func (m *mesh) batch(v *model.View, calls float64, failing model.VersionName) []model.KeyedSum {
	var sums []model.KeyedSum
	service := v.Configuration.Service("placements")
	for _, share := range service.Versions {
		if share.Share == 0 || withheld(v, share.Version) {
			continue
		}
		s := model.KeyedSum{OutcomeKey: model.OutcomeKey{Service: "placements", Route: "placements", Version: share.Version}}
		want := calls * float64(share.Share) / float64(model.FullShare)
		for n := 0; n < int(want) || m.Rand.Float64() < want-float64(n) && n == int(want); n++ {
			s.Observe(share.Version == failing, 4*time.Millisecond)
		}
		if s.Calls > 0 {
			sums = append(sums, s)
		}
	}
	return sums
}

func withheld(v *model.View, version model.VersionName) bool {
	for _, mark := range v.Marks {
		if mark.Version == version {
			return true
		}
	}
	return false
}

// shares counts the live daemons by the share of a version in their configuration.
func (m *mesh) shares(version model.VersionName) map[model.Share]int {
	shares := map[model.Share]int{}
	for _, n := range m.Nodes {
		if n.Alive && n.View != nil {
			shares[n.View.Configuration.Service("placements").Version(version).Share]++
		}
	}
	return shares
}

// ended reports whether the move ended exactly once and in the given phase.
func (m *mesh) ended(phase model.Phase) bool {
	finished := 0
	for _, c := range m.changes {
		if c == "finish applied" {
			finished++
		}
	}
	document := m.document()
	return finished == 1 && document.Moves[0].Phase == phase
}

// document returns the newest configuration that a live daemon has read from the store.
func (m *mesh) document() *model.Configuration {
	var newest *model.Configuration
	for _, n := range m.Nodes {
		if d, _ := n.Agent.Document(); n.Alive && d != nil && (newest == nil || d.Number > newest.Number) {
			newest = d
		}
	}
	return newest
}

var intent = configuration.Declare{Intents: []model.Intent{{
	Service: "placements", To: "v2", By: fleet.Start.Add(5 * time.Minute), WatchSeconds: 5,
}}}

// Guards against a control loop that wakes itself continuously: a daemon that waits for a response, or that has no
// configuration, must not request a wake-up in the past. This fault made a leader without a configuration use a whole core.
func TestWakeIsInTheFuture(t *testing.T) {
	m := newMesh(t, 4)
	events, stage := 0, ""
	m.WrapHandler = func(_ *fleet.Node, run func()) {
		// 12 daemons with heartbeats, exchanges and the driver's rounds need well under 50 events a second each.
		if events++; events > 12*50*10 {
			t.Fatalf("%s: %d events in 10 s on 12 daemons", stage, events)
		}
		run()
	}
	check := func(name string) {
		events, stage = 0, name
		m.Run(10 * time.Second)
	}
	check("no configuration")
	events = 0
	m.declareService()
	check("idle")
	events = 0
	m.confirm(m.Nodes[0], intent)
	check("move without calls")
	m.Store.SetDown(true)
	check("platform down")
	m.Store.Delay = func(*fleet.Node) time.Duration { return 3 * time.Second }
	m.Store.SetDown(false)
	check("platform slow")
}

// Guards against a move of a good version that does not finish. It covers the whole path from calls over evidence and
// steps to acknowledgements.
func TestGoodVersionIsDone(t *testing.T) {
	is := is.New(t)
	m := newMovingMesh(t)
	m.reportCalls(5*time.Minute, 30, "")
	is.True(m.ended(model.PhaseDone))
	is.Equal(m.shares("v2"), map[model.Share]int{model.FullShare: 12})
}

// Guards against a bad version that keeps a share on any daemon although there is evidence against it.
func TestBadVersionIsWithdrawn(t *testing.T) {
	is := is.New(t)
	m := newMovingMesh(t)
	m.reportCalls(2*time.Minute, 30, "v2")
	is.True(m.ended(model.PhaseWithdrawn))
	is.Equal(m.shares("v2"), map[model.Share]int{0: 12})
}

// Guards against a withdrawal that waits for the platform: marks alone must stop the calls to a bad version.
func TestBadVersionIsWithheldWithoutPlatform(t *testing.T) {
	is := is.New(t)
	m := newMovingMesh(t)
	m.reportCalls(30*time.Second, 30, "")
	step := m.shares("v2")
	is.Equal(len(step), 1)
	is.Equal(step[0], 0) // the first step is in force
	m.Store.SetDown(true)
	m.reportCalls(5*time.Second, 300, "v2")
	for _, n := range m.Nodes {
		is.True(withheld(n.View, "v2") || n.View.Isolated)
	}
	m.Store.SetDown(false)
	m.reportCalls(time.Minute, 30, "v2")
	is.True(m.ended(model.PhaseWithdrawn))
	is.Equal(m.shares("v2"), map[model.Share]int{0: 12})
}

// Guards against a move that stops for ever or takes a step twice when its driver dies or is paused until its lease expired.
func TestDriverIsReplaced(t *testing.T) {
	for _, fault := range []string{"killed", "paused"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, 4)
			var driver *fleet.Node
			m.OnEffect = func(n *fleet.Node, e effect.Effect) {
				if log, ok := e.(effect.Log); ok && log.Event == "driving moves" {
					driver = n
				}
				m.recordEffect(n, e)
			}
			for _, n := range m.Nodes {
				n.Kill()
				n.Boot()
			}
			m.Run(20 * time.Second)
			m.declareService()
			m.reportCalls(10*time.Second, 30, "")
			m.confirm(m.Nodes[5], intent)
			m.reportCalls(20*time.Second, 30, "")
			first := driver
			if fault == "killed" {
				first.Kill()
			} else {
				first.Freeze()
			}
			m.reportCalls(40*time.Second, 30, "")
			is.True(driver != first)
			if fault == "paused" {
				first.Thaw()
			}
			m.reportCalls(6*time.Minute, 30, "")
			is.True(m.ended(model.PhaseDone))
		})
	}
}
