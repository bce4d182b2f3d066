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

// commandSubmitter submits operators' commands to the control loop.
type commandSubmitter struct{ loop *control.Loop }

// Submit runs a command and returns its outcome.
func (s commandSubmitter) Submit(ctx context.Context, by string, cmd configuration.Command) model.Outcome {
	return s.loop.Submit(ctx, by, cmd)
}

// queryReader reads the data for operators' queries. Plans, events and finished moves are read from the platform's store.
// While the service does not answer, the configuration is that of the daemon's own view, which has no events.
type queryReader struct {
	loop       *control.Loop
	store      store.Store
	peerClient *peer.Client
	// address is the daemon's own peer address.
	address string
}

// Configuration returns the stored configuration, or that of the daemon's own view if it cannot be read. It returns false if
// that view is not ready either.
func (r queryReader) Configuration(ctx context.Context) (*model.Configuration, bool) {
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
func (r queryReader) Plans(ctx context.Context) ([]model.Plan, bool) {
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

// Status returns the status of the mesh as the leader of this data centre knows it. Without the leader's reply it is unknown
// which configuration is in force, so it returns false.
func (r queryReader) Status(ctx context.Context) (*message.StatusReply, bool) {
	own, ok := r.loop.Status(ctx)
	if !ok || own.Leader == "" {
		return nil, false
	}
	if own.Leader == r.address {
		return own, true
	}
	status, ok := r.peerClient.Call(ctx, own.Leader, &message.StatusQuery{}).(*message.StatusReply)
	return status, ok
}
