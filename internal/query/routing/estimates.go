package routing

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Estimate is the expected wait and execution time of a call at a target.
type Estimate struct{ Wait, ExecutionTime time.Duration }

// Estimates returns what a selection expects at the ready targets of the version, by daemon. A selection reads the load of a few
// targets of each tier; where a version has more, its means are over those and here over all.
func (v *Version) Estimates(loads LoadProvider) map[model.DaemonID]Estimate {
	candidates := make([]candidate, 0, v.ReadyCount())
	for tier := range v.tiers {
		for _, target := range v.tiers[tier] {
			if load := loads.Load(target); !load.Leaving {
				candidates = append(candidates, candidate{target: target, load: load, tier: tier})
			}
		}
	}
	v.estimate(candidates)
	estimates := make(map[model.DaemonID]Estimate, len(candidates))
	for i := range candidates {
		estimates[candidates[i].target.Daemon] = Estimate{candidates[i].wait, candidates[i].executionTime}
	}
	return estimates
}

// Versions returns the versions of the service that receive calls.
func (s *Service) Versions() []*Version { return s.versions }
