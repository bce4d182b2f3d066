package agent

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// Extension adds control logic to an agent: operators' commands, the writer of configuration changes, the driver of moves.
// It runs in the agent's goroutine and may call every exported method of the agent except Handle and NextWake.
type Extension interface {
	// Handle processes each event after the agent has handled it.
	Handle(now time.Time, ev effect.Event)
	// NextWake returns the time at which the extension needs the next Wake, or the zero time if it needs none.
	NextWake() time.Time
}

// Extend sets the extension. It must be called before the first event.
func (a *Agent) Extend(e Extension) { a.extension = e }

// Emit adds an effect to those that the current call of Handle returns.
func (a *Agent) Emit(e effect.Effect) { a.emit(e) }

// CallStore issues a call to the platform's store; a later call of Handle passes its result to done.
func (a *Agent) CallStore(call store.Call, done func(result store.Result)) {
	a.nextRequest++
	if done != nil {
		a.pendingStoreCalls[a.nextRequest] = done
	}
	a.emit(effect.StoreCall{Request: a.nextRequest, Call: call})
}

// Self returns the local target of this daemon.
func (a *Agent) Self() model.Target { return a.self }

// Rand returns the agent's random source.
func (a *Agent) Rand() *rand.Rand { return a.cfg.Rand }

// Leader returns the term of this daemon as leader of its data centre, and whether its lease cannot have expired. Only
// then may it write.
func (a *Agent) Leader() (model.Term, bool) { return a.lead.lease.Term(), a.lead.lease.Valid(a.now) }

// Document returns the stored configuration as this daemon last read it as a leader, with events and finished moves, and its
// store revision. It returns nil and 0 before the first read, and may be out of date on a daemon that is not a leader.
func (a *Agent) Document() (*model.Configuration, int64) { return a.lead.document, a.lead.revision }

// Role is the position of a daemon in the tree of its data centre.
type Role string

// Roles of a daemon.
const (
	RoleLeader Role = "leader"
	RoleRelay  Role = "relay"
	RoleLeaf   Role = "leaf"
)

// Role returns the daemon's current role.
func (a *Agent) Role() Role {
	switch {
	case a.lead.lease.Held():
		return RoleLeader
	case a.parent.isRelay:
		return RoleRelay
	default:
		return RoleLeaf
	}
}

// View returns the current view. It returns the published one unless something has changed since: building a view copies the
// roster, and the traffic goroutines report outcomes several times a second.
func (a *Agent) View() *model.View {
	if a.published == nil || a.dirty {
		return a.buildView()
	}
	return a.published
}

// SetDriver sets whether this daemon drives the moves. The other leaders send their evidence to the driver.
func (a *Agent) SetDriver(driver bool) {
	if a.lead.isDriver != driver {
		a.lead.isDriver = driver
		a.scheduleNoLater(timerExchange, 0)
		for _, p := range a.lead.peers {
			p.lastSent = time.Time{}
		}
	}
}

// TakeEvidence returns and clears the outcomes received since the last call: one entry per data centre, sorted.
func (a *Agent) TakeEvidence() []model.Evidence {
	if a.lead.lease.Held() && a.hasActiveMove() {
		a.addEvidence(model.Evidence{
			DataCentre: a.self.DataCentre, From: a.lead.evidenceFrom, To: a.now, Sums: a.takeSums(),
		})
	}
	list := make([]model.Evidence, 0, len(a.evidence))
	for _, dc := range slices.Sorted(maps.Keys(a.evidence)) {
		list = append(list, a.evidence[dc])
	}
	clear(a.evidence)
	return list
}

// InForce summarises all data centres as this leader knows them. A data centre that sent no exchange within BlindAfter is
// listed as blind, and its daemons are left out of Live and Number.
func (a *Agent) InForce() model.InForce {
	f := a.summary()
	for _, p := range a.sortedPeers() {
		if a.now.Sub(p.lastHeard) > BlindAfter || p.receivedSeq == 0 {
			f.Blind = append(f.Blind, p.dc)
			continue
		}
		if n := p.inForce.Number; n > 0 && (f.Number == 0 || n < f.Number) {
			f.Number = n
		}
		f.Live += p.inForce.Live
		f.Silent = append(f.Silent, p.inForce.Silent...)
		f.Refusals = append(f.Refusals, p.inForce.Refusals...)
	}
	return f
}

// SetHolds sets the reasons why moves do not advance, for reports. It is called on the driver only.
func (a *Agent) SetHolds(holds []message.Hold) { a.lead.holds = holds }

// currentHolds returns the holds that the driver last set here or sent to this leader.
func (a *Agent) currentHolds() []message.Hold {
	if a.lead.isDriver {
		return a.lead.holds
	}
	for _, p := range a.sortedPeers() {
		if p.isDriver {
			return p.holds
		}
	}
	return nil
}
