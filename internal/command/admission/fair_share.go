package admission

import (
	"math"
	"time"
)

const (
	// useDecay is the age at which the use of a target has 1/e of its weight left in a tenant's recent use.
	useDecay = 3 * time.Second
	// tenantActiveFor is how long a tenant counts as active after its latest call. A tenant without calls has no share.
	tenantActiveFor = 5 * time.Second
	// maxTenants bounds the tenants that are remembered. The calls of further ones are ordered like calls without a tenant.
	maxTenants = 1024
	// shareTolerance is the use, relative to the fair share, up to which a tenant is not over it. A tenant whose demand is its
	// share is above and below it by some percent from call to call.
	shareTolerance = 1.1
	// serviceFloor is the fraction of its calls that are served, relative to that of all tenants, below which a tenant never
	// counts as over its share. A quarter is promised.
	serviceFloor = 0.35
	// maxTenantWeight bounds the weights, so that sums of them stay finite.
	maxTenantWeight = 1e9
)

// tenantUse is the recent use of the target by one tenant. Use, arrived and served decay with useDecay.
type tenantUse struct {
	weight float64
	// use is execution time in seconds, arrived the number of calls that requested a slot, served that of those that got one.
	use, arrived, served float64
	updatedAt, lastCall  time.Time
}

func (t *tenantUse) decay(now time.Time) {
	if passed := now.Sub(t.updatedAt); passed > 0 {
		factor := math.Exp(-passed.Seconds() / useDecay.Seconds())
		t.use, t.arrived, t.served = t.use*factor, t.arrived*factor, t.served*factor
		t.updatedAt = now
	}
}

// fairShares tracks how much each tenant has recently used the target. Calls without a tenant are not tracked. The zero value
// has no tenants.
type fairShares struct {
	tenants map[string]*tenantUse
	// total sums up all tenants; its weight is that of the tenants in the map.
	total   tenantUse
	sweptAt time.Time
}

// recordArrival records that a call requests a slot.
func (s *fairShares) recordArrival(now time.Time, call *Call) {
	if call.Tenant == "" {
		return
	}
	s.sweep(now)
	t := s.tenants[call.Tenant]
	if t == nil {
		if len(s.tenants) >= maxTenants {
			return
		}
		if s.tenants == nil {
			s.tenants = map[string]*tenantUse{}
		}
		t = &tenantUse{updatedAt: now}
		s.tenants[call.Tenant] = t
	}
	weight := 1.0
	if call.Weight > 0 {
		weight = min(call.Weight, maxTenantWeight)
	}
	s.total.weight += weight - t.weight
	t.weight, t.lastCall = weight, now
	s.add(now, t, tenantUse{arrived: 1})
}

// recordStart records that a call got a slot and will probably use it for the given time.
func (s *fairShares) recordStart(now time.Time, call *Call, expected time.Duration) {
	if t := s.tenants[call.Tenant]; t != nil {
		s.add(now, t, tenantUse{use: expected.Seconds(), served: 1})
	}
}

// recordEnd replaces the expected time of a call by the time that it took.
func (s *fairShares) recordEnd(now time.Time, call *Call, expected, took time.Duration) {
	if t := s.tenants[call.Tenant]; t != nil {
		s.add(now, t, tenantUse{use: (took - expected).Seconds()})
	}
}

func (s *fairShares) add(now time.Time, t *tenantUse, change tenantUse) {
	for _, sum := range [...]*tenantUse{t, &s.total} {
		sum.decay(now)
		sum.use = max(sum.use+change.use, 0)
		sum.arrived += change.arrived
		sum.served += change.served
	}
}

// isOver reports whether the tenant of a call has recently used more than its fair share, by weight among the active tenants,
// of what all tenants have used.
func (s *fairShares) isOver(now time.Time, call *Call) bool {
	if call.Tenant == "" {
		return false
	}
	t := s.tenants[call.Tenant]
	if t == nil {
		return false
	}
	t.decay(now)
	s.total.decay(now)
	if t.served*s.total.arrived < serviceFloor*s.total.served*t.arrived {
		return false
	}
	return t.use*s.total.weight > shareTolerance*s.total.use*t.weight
}

// sweep forgets the idle tenants once in tenantActiveFor, and sums up the others again, since differences add up rounding errors.
func (s *fairShares) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < tenantActiveFor/5 {
		return
	}
	s.sweptAt = now
	s.total = tenantUse{updatedAt: now}
	for name, t := range s.tenants {
		if now.Sub(t.lastCall) >= tenantActiveFor {
			delete(s.tenants, name)
			continue
		}
		t.decay(now)
		s.total.weight += t.weight
		s.total.use += t.use
		s.total.arrived += t.arrived
		s.total.served += t.served
	}
}
