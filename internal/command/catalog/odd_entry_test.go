package catalog_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// oddValues are values that another writer may leave in the store. TARGET stands for fields of a usable target.
func oddValues() map[string]string {
	target := func(fields string) string {
		return `{"daemon":"odd","service":"profiles","version":"v1","dataCentre":"dc0","state":"ready","slots":4,"incarnation":1,` +
			`"instance":"odd","born":5,"address":"10.0.0.1:80","peerAddress":"10.0.0.1:81",` + fields + `}`
	}
	move := func(fields string) string {
		return `{"id":"profiles@1","service":"profiles","from":"v1","to":"v2","phase":"running",` + fields + `}`
	}
	return map[string]string{
		"empty": "", "no JSON": "{", "not UTF-8": "\xff\xfe\x00", "null": "null", "a list": "[]", "a number": "7",
		"deeply nested":             strings.Repeat("[", 20_000),
		"nested in a field":         target(`"x":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000)),
		"a megabyte":                target(`"x":"` + strings.Repeat("a", 1<<20) + `"`),
		"port 0":                    target(`"address":"10.0.0.1:0"`),
		"port 65536":                target(`"address":"10.0.0.1:65536"`),
		"port -1":                   target(`"address":"10.0.0.1:-1"`),
		"a port with a name":        target(`"address":"10.0.0.1:http"`),
		"no port":                   target(`"address":"10.0.0.1"`),
		"peer port out of range":    target(`"peerAddress":"10.0.0.1:99999"`),
		"a number out of range":     target(`"slots":1e400`),
		"2^63 slots":                target(`"slots":9223372036854775808`),
		"many slots":                target(`"slots":2147483647`),
		"negative slots":            target(`"slots":-1`),
		"no slots":                  target(`"slots":0`),
		"slots as text":             target(`"slots":"4"`),
		"an unknown state":          target(`"state":"sleepy"`),
		"no start time":             target(`"version":"v0","born":0`),
		"a negative start time":     target(`"version":"v0","born":-1`),
		"no run":                    target(`"version":"v0","instance":""`),
		"no service":                target(`"service":""`),
		"a year out of range":       target(`"warmAt":"99999-01-01T00:00:00Z"`),
		"a move at a negative step": move(`"step":-5`),
		"a move beyond its steps":   move(`"step":3,"steps":[{"share":1}]`),
		"a move with few steps":     move(`"step":0,"steps":[{"share":500},{"share":10000}]`),
		"a move of many shares":     move(`"step":0,"steps":[{"share":-5},{"share":99999999},{"share":1},{"share":1},{"share":1}]`),
		"a move of no phase":        move(`"phase":"dancing","step":0,"steps":[{"share":500}]`),
	}
}

// Guards against daemons that end, or no longer follow the store, because another writer left an odd entry among theirs, in a list,
// a watch, or at their start.
func TestOddEntriesAreSkipped(t *testing.T) {
	for name, value := range oddValues() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 6)
			sim.startTargets("v1")
			sim.put("op/intent/profiles", model.Intent{Service: "profiles", To: "v2", By: sim.now.Add(20 * applyBound)})
			for _, key := range []string{store.PrefixTargets + "odd", store.PrefixMoves + "profiles", store.PrefixMoves + "odd", "op/intent/odd"} {
				sim.store.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}}})
			}
			sim.run(applyBound)
			restarted := sim.start("d03", nil)
			sim.run(applyBound)
			sim.startTarget(3, "v1")
			sim.configure(9, "/a/", "/new/")
			sim.run(2 * applyBound)
			is.Equal(sim.configurationNumbers(), map[model.Number]int{9: 6})
			for _, n := range append(sim.nodes, restarted) {
				is.True(n.view.Ready)
				is.Equal(len(n.view.Targets), 6) // the odd entry names no target, the others hold
				for i := range n.view.Configuration.Services {
					total := model.Share(0)
					for _, v := range n.view.Configuration.Services[i].Versions {
						is.True(v.Share >= 0 && v.Share <= model.FullShare)
						total += v.Share
					}
					is.Equal(fmt.Sprint(total), fmt.Sprint(model.FullShare))
				}
			}
		})
	}
}

// Guards against an entry of another writer that draws all calls of a service to a version which none of its targets runs (review/9):
// without a start time it seemed to be that of the oldest target.
func TestEntryWithoutStartTimeDrawsNoCalls(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.startTargets("v1")
	sim.run(applyBound)
	entry := `{"daemon":"odd","incarnation":1,"service":"profiles","version":"v0","dataCentre":"dc0","address":"10.0.0.1:80",` +
		`"peerAddress":"10.0.0.1:81","slots":4,"state":"ready","instance":"i0","sequence":1}`
	sim.store.Do(store.Call{Kind: store.KindTxn, Txn: store.Txn{Puts: []store.Put{{Key: store.PrefixTargets + "odd", Value: []byte(entry)}}}})
	sim.run(2 * applyBound)
	for _, n := range sim.nodes {
		is.Equal(shareOf(n.view, "v0"), model.Share(0))
		is.Equal(shareOf(n.view, "v1"), model.FullShare)
	}
}
