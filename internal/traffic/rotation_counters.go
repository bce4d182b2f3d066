package traffic

import (
	"sync/atomic"

	"sniperail.example/sniperail/internal/model"
)

// rotationCounters holds the rotation counter of each route, which selects the service and the version of a call.
type rotationCounters struct {
	byRoute lazyMap[model.RouteName, atomic.Uint64]
}

// get returns the counter of a route. It starts at a random value, so that daemons that restart together do not all send
// their first calls to the same version.
func (c *rotationCounters) get(route model.RouteName) *atomic.Uint64 {
	return c.byRoute.get(route, newRotationCounter)
}

func newRotationCounter(model.RouteName) *atomic.Uint64 {
	counter := &atomic.Uint64{}
	counter.Store(random{}.Uint64() >> 1)
	return counter
}
