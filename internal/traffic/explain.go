package traffic

import (
	"math/rand/v2"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/explanation"
	"sniperail.example/sniperail/internal/query/routing"
)

// Explain says where a request would go now, and why. It changes neither counters nor quotas nor what is known of targets, and sends
// nothing. The confirmation must be read before the call.
func (o *Outbound) Explain(confirmation explanation.Confirmation, request explanation.Request) explanation.Explanation {
	return o.explainAt(time.Now(), confirmation, request)
}

func (o *Outbound) explainAt(
	now time.Time, confirmation explanation.Confirmation, request explanation.Request,
) explanation.Explanation {
	table := o.options.Tables.Table()
	request.Host = hostName(request.Host)
	return explanation.Explain(explanation.Snapshot{
		Table: table, Confirmation: confirmation, IsBrief: admission.IsBrief,
		Loads: func(route model.RouteName) explanation.Loads { return o.snapshotLoads(table, route, now) },
		// The seeds are fixed, so that the same snapshot gives the same chances.
	}, request, rand.NewPCG(1, 2))
}

// fixedTable implements Tables with one table.
type fixedTable struct{ table *routing.Table }

func (f fixedTable) Table() *routing.Table { return f.table }

// snapshotLoads returns the loads of all targets as the next request on a route finds them. A request first takes over the targets of
// the table, which is done here on a copy of the map.
func (o *Outbound) snapshotLoads(table *routing.Table, route model.RouteName, now time.Time) explanation.Loads {
	next := &peers{tables: fixedTable{table}, lostPeer: o.peers.lostPeer, keepRemovedCalls: true}
	next.known.Store(o.peers.known.Load())
	next.update(table, now)
	provider := &peerLoads{next, &o.leaving, table.View.Evacuated, route, now}
	loads := make(explanation.Loads, len(table.View.Targets))
	for i := range table.View.Targets {
		target := &table.View.Targets[i]
		load := explanation.Load{TargetLoad: provider.Load(target)}
		p := next.get(target)
		p.load.mu.Lock()
		load.Running, load.Queued = p.load.report.running, p.load.report.queued
		p.load.mu.Unlock()
		loads[target.Daemon] = load
	}
	return loads
}
