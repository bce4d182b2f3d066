package traffic

import (
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// longestDeadlines holds the longest deadline that callers have set on each route. A caller that comes back after a refusal sets
// what is left of it, so the difference tells how long the request has been under way.
type longestDeadlines struct {
	byRoute lazyMap[model.RouteName, atomic.Int64]
}

// elapsed returns how long before this attempt the caller is taken to have made its first one.
func (d *longestDeadlines) elapsed(route model.RouteName, deadline time.Duration) time.Duration {
	longest := d.byRoute.get(route, newZero)
	for {
		seen := longest.Load()
		if int64(deadline) <= seen {
			return time.Duration(seen) - deadline
		}
		if longest.CompareAndSwap(seen, int64(deadline)) {
			return 0
		}
	}
}
