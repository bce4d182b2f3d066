package catalog

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/model"
)

// applyEvacuationEntry records whether the key of a data centre's evacuation exists. An evacuation that a restored store has lost
// stays in force for lostIntentTTL, in which the operator writes it again.
func (c *Core) applyEvacuationEntry(now time.Time, dc model.DataCentre, exists bool) {
	_, known := c.evacuated[dc]
	switch {
	case exists:
		c.evacuated[dc] = time.Time{}
		if !known {
			c.dirty = true
			c.log("data-centre-evacuated", "data_centre", truncate(string(dc)))
		}
	case known && c.operatorKeys.renewing:
		c.evacuated[dc] = now.Add(lostIntentTTL)
	case known:
		c.endEvacuation(dc)
	}
}

func (c *Core) endEvacuation(dc model.DataCentre) {
	delete(c.evacuated, dc)
	c.dirty = true
	c.log("data-centre-back", "data_centre", truncate(string(dc)))
}

// dropKeptEvacuations ends the evacuations that a restored store has lost and that were not written again in time.
func (c *Core) dropKeptEvacuations(now time.Time) {
	for dc, keptUntil := range c.evacuated {
		if !keptUntil.IsZero() && !now.Before(keptUntil) {
			c.endEvacuation(dc)
		}
	}
}

// isEvacuated reports whether a target gets no calls because its data centre is evacuated. Such a target stays ready, so that the
// shares of versions do not change: its version has calls again as soon as the data centre is back.
func (c *Core) isEvacuated(t *model.Target) bool {
	_, evacuated := c.evacuated[t.DataCentre]
	return evacuated
}

// evacuationKeys returns the keys that exist while a known data centre is evacuated, in order.
func (c *Core) evacuationKeys() []string {
	dcs := map[model.DataCentre]struct{}{c.cfg.Target.DataCentre: {}}
	for _, m := range c.roster {
		dcs[m.target.DataCentre] = struct{}{}
	}
	for dc := range c.evacuated {
		dcs[dc] = struct{}{}
	}
	keys := make([]string, 0, len(dcs))
	for dc := range dcs {
		keys = append(keys, c.cfg.Operator.KeyEvacuation(dc))
	}
	slices.Sort(keys)
	return keys
}

// callable returns the observations that decide on the steps of a running move, without those of evacuated targets of its new
// version: they get no calls, so that the move would take its steps without evidence.
func (c *Core) callable(m *model.Rollout, observations []rollout.Observation) []rollout.Observation {
	if len(c.evacuated) == 0 || m.Phase != model.PhaseRunning {
		return observations
	}
	return slices.DeleteFunc(slices.Clone(observations), func(o rollout.Observation) bool {
		return o.Target.Version == m.To && c.isEvacuated(&o.Target)
	})
}
