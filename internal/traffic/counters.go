package traffic

import (
	"sync"
	"sync/atomic"

	"sniperail.example/sniperail/internal/model"
)

// counters holds the rotation counter of each route.
type counters struct{ byRoute sync.Map }

// get returns the counter of a route. It starts at a random call, so that daemons that restart together do not all give
// their first calls to the same version.
func (c *counters) get(route model.RouteName) *atomic.Uint64 {
	if known, ok := c.byRoute.Load(route); ok {
		return known.(*atomic.Uint64)
	}
	fresh := &atomic.Uint64{}
	fresh.Store(random{}.Uint64() >> 1)
	known, _ := c.byRoute.LoadOrStore(route, fresh)
	return known.(*atomic.Uint64)
}
