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

// Extension adds decisions to an agent: operators' commands, the writer of configuration changes, the driver of moves.
// It runs in the agent's goroutine and may call every exported method of the agent except Handle and NextWake.
type Extension interface {
	// Handle sees each event after the agent's own handling.
	Handle(now time.Time, ev effect.Event)
	// NextWake returns the time of the next Wake that the extension wants; zero for none.
	NextWake() time.Time
}

// Extend sets the extension. Call it before the first event.
func (a *Agent) Extend(e Extension) { a.extension = e }

// Emit adds an effect to the ones that the running Handle returns.
func (a *Agent) Emit(e effect.Effect) { a.emit(e) }

// CallStore issues a call to the platform; done gets its result within a later Handle.
func (a *Agent) CallStore(call store.Call, done func(result store.Result)) {
	a.nextRequest++
	if done != nil {
		a.calls[a.nextRequest] = done
	}
	a.emit(effect.StoreCall{Request: a.nextRequest, Call: call})
}

// Self returns the target beside this daemon.
func (a *Agent) Self() model.Target { return a.self }

// Rand returns the agent's random source.
func (a *Agent) Rand() *rand.Rand { return a.cfg.Rand }

// Leader reports whether this daemon leads its data centre under a lease that cannot have expired, and its term. Only
// then may it write.
func (a *Agent) Leader() (model.Term, bool) { return a.lead.lease.Term(), a.lead.lease.Valid(a.now) }

// Document returns the configuration as stored, with events and finished moves, and its store revision, as a leader
// last read it. It is nil and 0 before the first read, and may be out of date on a daemon that is not a leader.
func (a *Agent) Document() (*model.Configuration, int64) { return a.lead.document, a.lead.revision }

// ApplyEntry gives the agent a newer entry of the configuration key, for example one that the extension wrote, before
// the watch delivers it.
func (a *Agent) ApplyEntry(entry store.Entry) {
	if a.lead.lease.Held() {
		a.takeEntry(entry)
	}
}

// Role is the place of a daemon in the tree of its data centre.
type Role string

// Roles of a daemon.
const (
	RoleLeader Role = "leader"
	RoleRelay  Role = "relay"
	RoleLeaf   Role = "leaf"
)

// Role returns the daemon's present role.
func (a *Agent) Role() Role {
	switch {
	case a.lead.lease.Held():
		return RoleLeader
	case a.parent.relay:
		return RoleRelay
	default:
		return RoleLeaf
	}
}

// View returns the view as it stands. It is the published one unless something changed since, because building a view
// copies the roster and the traffic goroutines report outcomes several times a second.
func (a *Agent) View() *model.View {
	if a.published == nil || a.dirty {
		return a.view()
	}
	return a.published
}

// SetDriver says whether this daemon drives the moves; the other leaders then send it their evidence.
func (a *Agent) SetDriver(driver bool) {
	if a.lead.driver != driver {
		a.lead.driver = driver
		a.soon(timerExchange, 0)
		for _, p := range a.lead.peers {
			p.lastSent = time.Time{}
		}
	}
}

// TakeEvidence returns the outcomes received since the last call, one entry per data centre, sorted.
func (a *Agent) TakeEvidence() []model.Evidence {
	if a.lead.lease.Held() && a.moving() {
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

// InForce summarises all data centres as this leader knows them. A data centre that sent no exchange lately is blind,
// and its daemons count neither as live nor as having a number.
func (a *Agent) InForce() model.InForce {
	f := a.summary()
	for _, p := range a.peerList() {
		if a.now.Sub(p.heard) > BlindAfter || p.seqIn == 0 {
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

// SetHolds sets why moves do not go on, for reports. Only the driver knows.
func (a *Agent) SetHolds(holds []message.Hold) { a.lead.holds = holds }

// holds returns what the driver last reported, here or to this leader.
func (a *Agent) holds() []message.Hold {
	if a.lead.driver {
		return a.lead.holds
	}
	for _, p := range a.peerList() {
		if p.driver {
			return p.holds
		}
	}
	return nil
}
