package traffic

import (
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// longestDeadlines holds the longest deadline that callers have set on each route. A caller that retries after a refusal
// sets the time that is left, so the difference estimates how long ago it made its first attempt.
type longestDeadlines struct {
	byRoute lazyMap[model.RouteName, atomic.Int64]
}

// elapsed returns the estimated time between the caller's first attempt and this one.
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
