package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// loggedField returns the value of a field in the first log event with the given name; "" if there is none.
func loggedField(n *node, event, key string) string {
	for _, log := range n.logs {
		if log.Event != event {
			continue
		}
		for _, field := range log.Fields {
			if field.Key == key {
				return field.Value
			}
		}
	}
	return ""
}

// Guards against a late change that cannot be explained from the logs: which number a daemon lacked, who announced it, and for
// how long.
func TestLagIsLogged(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.startTargets("v1")
	n := sim.nodes[0]
	n.platformUnreachable, sim.nodes[1].stopped = true, true
	sim.handle(n, effect.RequestReceived{Token: 99, Body: &message.Spread{From: "d01:1", Number: 7, Revision: 50}})
	sim.run(200 * time.Millisecond)
	is.Equal(loggedField(n, "configuration-behind", "number"), "7")
	is.Equal(loggedField(n, "configuration-behind", "own"), "1")
	is.Equal(loggedField(n, "configuration-behind", "from"), "d01:1")
	sim.run(time.Second)
	sim.configure(7, "/a/")
	n.logs, n.platformUnreachable = nil, false
	sim.run(6 * time.Second)
	is.Equal(loggedField(n, "configuration", "number"), "7")
	behind := loggedField(n, "configuration", "behind_ms")
	is.True(behind != "" && behind != "0")
}

// Guards against daemons that restart together and send each other the whole configuration, because each learns of its number
// before the platform has answered.
func TestStartingDaemonLeavesThePeersAlone(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.startTargets("v1")
	n := sim.start("d02", []string{"d00:1"})
	n.platformUnreachable = true
	for range 10 {
		sim.handle(n, effect.RequestReceived{Token: 99, Body: &message.Spread{From: "d00:1", Number: 1, Revision: 1}})
		sim.run(20 * time.Millisecond)
	}
	is.Equal(n.catalogQueries, 0)
	sim.run(time.Second)
	is.Equal(n.view.Configuration.Number, model.Number(1)) // by anti-entropy, as the platform does not answer
}
