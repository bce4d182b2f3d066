package daemon

import (
	"context"

	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/control"
	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/peer"
	"sniperail.example/sniperail/internal/store"
)

// submitter hands operators' commands to the control loop.
type submitter struct{ loop *control.Loop }

// Submit runs a command and returns its outcome.
func (s submitter) Submit(ctx context.Context, by string, cmd configuration.Command) model.Outcome {
	return s.loop.Submit(ctx, by, cmd)
}

// reader answers operators' queries. Plans, events and finished moves are read from the platform's service; while it
// does not answer, the configuration comes from the daemon's own view, which holds no events.
type reader struct {
	loop  *control.Loop
	store store.Store
	peers *peer.Client
	// address is the daemon's own peer address.
	address string
}

// Configuration returns the stored configuration, or the daemon's own.
func (r reader) Configuration(ctx context.Context) (*model.Configuration, bool) {
	result := r.store.Do(ctx, store.Call{
		Kind: store.KindGet, Priority: store.PriorityReport, Reason: "report", Key: store.KeyConfiguration,
	})
	if result.Outcome == store.Applied && len(result.Entries) > 0 {
		if c, err := (document.JSON{}).DecodeConfiguration(result.Entries[0].Value); err == nil {
			return c, true
		}
	}
	view := r.loop.Table().View
	return view.Configuration, view.Ready
}

// Plans lists the stored plans.
func (r reader) Plans(ctx context.Context) ([]model.Plan, bool) {
	result := r.store.Do(ctx, store.Call{
		Kind: store.KindList, Priority: store.PriorityReport, Reason: "report", Key: store.PrefixPlans,
	})
	if result.Outcome != store.Applied {
		return nil, false
	}
	var list []model.Plan
	for _, e := range result.Entries {
		if p, err := (document.JSON{}).DecodePlan(e.Value); err == nil {
			list = append(list, *p)
		}
	}
	return list, true
}

// Status returns what the leader of this data centre knows of the mesh. Without the leader's answer it is not known
// what is in force, so there is no status.
func (r reader) Status(ctx context.Context) (*message.StatusReply, bool) {
	own, ok := r.loop.Status(ctx)
	if !ok || own.Leader == "" {
		return nil, false
	}
	if own.Leader == r.address {
		return own, true
	}
	status, ok := r.peers.Call(ctx, own.Leader, &message.StatusQuery{}).(*message.StatusReply)
	return status, ok
}
