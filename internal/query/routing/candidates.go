package routing

import (
	"slices"

	"sniperail.example/sniperail/internal/model"
)

// consideredPerTier is the number of targets of a tier whose load is read for a call. It bounds the work of a selection, which
// would otherwise grow with the number of targets.
const consideredPerTier = 8

// choicesPerTier is the number of targets of a tier that are compared for a call. Load reports are up to seconds old: if all
// targets were compared, many daemons would send their calls to the same target until its next reports show the queue.
const choicesPerTier = 2

// appendTier appends up to consideredPerTier targets of a tier that have not been tried, from a random position on, and
// the suspect ones between them, which do not count.
func (v *Version) appendTier(candidates []candidate, tier int, loads LoadProvider, random RandomSource,
	tried []model.DaemonID) []candidate {
	targets := v.tiers[tier]
	if len(targets) == 0 {
		return candidates
	}
	offset := int(random.Uint64() % uint64(len(targets)))
	trusted := 0
	for i := range targets {
		target := targets[(offset+i)%len(targets)]
		if slices.Contains(tried, target.Daemon) {
			continue
		}
		load := loads.Load(target)
		if load.Leaving {
			continue
		}
		candidates = append(candidates, candidate{target: target, load: load, tier: tier})
		if load.Suspect {
			continue
		}
		if trusted++; trusted == consideredPerTier {
			break
		}
	}
	return candidates
}

// assumeMeanLoad replaces the load of each target without a fresh report by the mean of the fresh reports of its data centre.
// If it counted as idle, it would be preferred to every target whose load is known, although it is as busy as they are. A data
// centre without any fresh report counts as idle, so that a call finds out.
func assumeMeanLoad(candidates []candidate) {
	type total struct{ outstanding, slots float64 }
	totals := map[model.DataCentre]total{}
	for i := range candidates {
		if c := &candidates[i]; c.load.Fresh {
			t := totals[c.target.DataCentre]
			t.outstanding += c.load.Outstanding
			t.slots += c.load.slots()
			totals[c.target.DataCentre] = t
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if t := totals[c.target.DataCentre]; !c.load.Fresh && t.slots > 0 {
			c.load.Outstanding = max(c.load.Outstanding, t.outstanding/t.slots*c.load.slots())
		}
	}
}

// drawCandidates returns choicesPerTier random candidates of each tier. Suspect ones are left out if the tier has others. It
// reorders candidates, which must be in the order of their tiers.
func drawCandidates(candidates []candidate, random RandomSource) []candidate {
	drawn := candidates[:0]
	for len(candidates) > 0 {
		end := 1
		for end < len(candidates) && candidates[end].tier == candidates[0].tier {
			end++
		}
		tier := moveTrustedFirst(candidates[:end])
		candidates = candidates[end:]
		for i := range min(choicesPerTier, len(tier)) {
			j := i + int(random.Uint64()%uint64(len(tier)-i))
			tier[i], tier[j] = tier[j], tier[i]
			drawn = append(drawn, tier[i])
		}
	}
	return drawn
}

// moveTrustedFirst returns the candidates that are neither suspect nor passed, or all if every one is. It reorders them.
func moveTrustedFirst(candidates []candidate) []candidate {
	trusted := 0
	for i := range candidates {
		if !candidates[i].load.Suspect && !candidates[i].passed {
			candidates[i], candidates[trusted] = candidates[trusted], candidates[i]
			trusted++
		}
	}
	if trusted == 0 {
		return candidates
	}
	return candidates[:trusted]
}
