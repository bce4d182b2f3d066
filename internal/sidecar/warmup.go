package sidecar

import "sniperail.example/sniperail/internal/model"

// carefulPerSecond is the number of calls per second to a cold target while the daemon has no configuration, which would say how
// many the target tolerates.
const carefulPerSecond = 1

// warmupPerSecond returns the number of calls per second that the local target tolerates while it is cold; 0 means any number.
func warmupPerSecond(view *model.View) float64 {
	if s := view.Configuration.Service(view.Local.Service); s != nil {
		return s.WarmupPerSecond
	}
	if view.Configuration.Number == 0 {
		return carefulPerSecond
	}
	return 0
}
