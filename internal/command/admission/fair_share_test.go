package admission

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tenantDemand is the demand of one tenant: calls a second from a time on, and its weight.
type tenantDemand struct {
	rate, weight float64
	from         time.Duration
}

// playTenants plays a minute of the tenants' calls on 12 slots of 230 ms and returns, for each tenant, the fraction of its
// calls that ended within their objective of 500 ms, and that of all tenants. Named says whether calls carry their tenant.
func playTenants(demands []tenantDemand, named bool) (inTime []float64, all float64) {
	random := rand.New(rand.NewPCG(5, 6))
	start := time.Unix(1000, 0)
	q := NewPriorityQueue()
	q.SetTarget(start, 12, true)
	type running struct {
		tenant int
		call   Call
		began  time.Time
	}
	calls, ends := map[Ticket]*running{}, map[int64][]*running{}
	served, sent := make([]float64, len(demands)), make([]float64, len(demands))
	begin := func(now time.Time, r *running) {
		r.began = now
		took := time.Duration(230e6 * math.Exp(0.5*random.NormFloat64()-0.125))
		end := now.Add(max(took, time.Millisecond)).Sub(start).Milliseconds()
		ends[end] = append(ends[end], r)
	}
	for ms := range int64(60_000) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, r := range ends[ms] {
			if now.Before(r.call.Objective) {
				served[r.tenant]++
			}
			q.RecordUse(now, r.call, now.Sub(r.began), true)
			for _, d := range q.Release(now, "k", now.Sub(r.began)) {
				if d.Reason == Admitted {
					begin(now, calls[d.Ticket])
				}
				delete(calls, d.Ticket)
			}
		}
		delete(ends, ms)
		for i, demand := range demands {
			if now.Sub(start) < demand.from || random.Float64() >= demand.rate/1000 {
				continue
			}
			sent[i]++
			call := Call{Kind: "k", Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond)}
			if named {
				call.Tenant, call.Weight = strconv.Itoa(i), demand.weight
			}
			r := &running{tenant: i, call: call}
			switch d := q.Acquire(now, call); d.Verdict {
			case Run:
				begin(now, r)
			case Wait:
				calls[d.Ticket] = r
			}
		}
	}
	sumServed, sumSent := 0.0, 0.0
	for i := range demands {
		sumServed, sumSent = sumServed+served[i], sumSent+sent[i]
		inTime = append(inTime, served[i]/sent[i])
	}
	return inTime, sumServed / sumSent
}

// equalTenants returns n tenants that together use 0.75 of the target, the first with the given multiple of its part.
func equalTenants(n int, firstFactor float64) []tenantDemand {
	demands := make([]tenantDemand, n)
	for i := range demands {
		rate := 39 / float64(n)
		demands[i] = tenantDemand{rate: rate, weight: 1.6 * rate}
	}
	demands[0].rate *= firstFactor
	return demands
}

// Guards against the excess of one tenant that makes the calls of others late or has them refused, and against an order by
// tenant that costs calls where capacity is not short or no tenant is over its share.
func TestExcessOfOneTenantTakesNothingFromOthers(t *testing.T) {
	for _, test := range []struct {
		name    string
		demands []tenantDemand
		others  float64 // lower bound of the fraction in time of each other tenant
	}{
		{"none", equalTenants(8, 1), 0.9}, {"one of 8, 8 times", equalTenants(8, 8), 0.85}, {"one of 2, 5 times", equalTenants(2, 5), 0.85},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			inTime, all := playTenants(test.demands, true)
			before, allBefore := playTenants(test.demands, false)
			t.Logf("in time %.2f, all %.3f; without tenants %.2f, %.3f", inTime, all, before, allBefore)
			for _, fraction := range inTime[1:] {
				is.True(fraction >= test.others)
			}
			is.True(inTime[0] >= all/4)
			is.True(all >= allBefore-0.03)
		})
	}
}

// Guards against a tenant of little weight that gets nearly nothing while others, of which none is over its share, take all.
func TestTenantsOfLittleWeightAreServed(t *testing.T) {
	is := is.New(t)
	demands := equalTenants(8, 3)
	for i := range demands {
		demands[i].rate *= 1.7
	}
	demands[0].weight = 0.01
	inTime, all := playTenants(demands, true)
	t.Logf("in time %.2f, all %.3f", inTime, all)
	is.True(inTime[0] >= all/4)
}

// Guards against memory that grows with the number of tenants that ever called, and against tenants that keep a share
// while they are idle.
func TestIdleTenantsAreForgotten(t *testing.T) {
	is := is.New(t)
	var s fairShares
	now := time.Unix(1000, 0)
	for i := range 2 * maxTenants {
		call := &Call{Tenant: strconv.Itoa(i), Weight: math.Inf(1)}
		s.recordArrival(now, call)
		s.recordStart(now, call, time.Second)
	}
	is.Equal(len(s.tenants), maxTenants)
	now = now.Add(tenantActiveFor)
	a, b := &Call{Tenant: "a", Weight: 3}, &Call{Tenant: "b", Weight: math.NaN()}
	s.recordArrival(now, a)
	s.recordArrival(now, b)
	is.Equal(len(s.tenants), 2)
	is.Equal(s.total.weight, 4.0)
	s.recordStart(now, a, time.Second)
	is.True(s.isOver(now, a))
	s.recordStart(now, b, time.Second/2)
	is.True(!s.isOver(now, a)) // two thirds of the use, three quarters of the weight
	is.True(s.isOver(now, b))
	is.True(!s.isOver(now, &Call{}))
}

// playReturns plays a minute of calls on 12 slots of 230 ms, at 0.7 of their capacity and six times as many in one second of
// ten. Refused callers come back at Retry-After, up to three times. It returns the fraction of callers that were served, and
// the calls of each.
func playReturns(tenant string) (served, calls float64) {
	random := rand.New(rand.NewPCG(1, 6))
	q := NewPriorityQueue()
	start := time.Unix(1000, 0)
	q.SetTarget(start, 12, true)
	callers, sent, ended := 0.0, 0.0, 0.0
	tries, ends, returns := map[Ticket]int{}, map[int64]int{}, map[int64][]int{}
	begin := func(ms int64) { ends[ms+1+int64(230*math.Exp(0.5*random.NormFloat64()-0.125))]++ }
	refuse := func(ms int64, try int, after time.Duration) {
		if try < 4 {
			returns[ms+max(after.Milliseconds(), 1)] = append(returns[ms+max(after.Milliseconds(), 1)], try+1)
		}
	}
	for ms := range int64(60_000) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		call := Call{Kind: "k", Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond), Tenant: tenant}
		for range ends[ms] {
			ended++
			for _, d := range q.Release(now, "k", 230*time.Millisecond) {
				if d.Reason == Admitted {
					begin(ms)
				} else {
					refuse(ms, tries[d.Ticket], q.RetryAfter(now, call, q.MeanExecutionTime()))
				}
			}
		}
		rate := 36.0
		if ms%10_000 < 1000 {
			rate *= 6
		}
		if random.Float64() < rate/1000 {
			callers++
			returns[ms] = append(returns[ms], 1)
		}
		for _, try := range returns[ms] {
			sent++
			switch d := q.Acquire(now, call); d.Verdict {
			case Run:
				begin(ms)
			case Wait:
				tries[d.Ticket] = try
			case Refuse:
				refuse(ms, try, d.RetryAfter)
			}
		}
		delete(returns, ms)
	}
	return ended / callers, sent / callers
}

// Guards against refused callers of a burst that come back all at once and are refused again.
func TestRefusedCallersAreSpread(t *testing.T) {
	is := is.New(t)
	served, calls := playReturns("t")
	before, callsBefore := playReturns("")
	t.Logf("served %.3f with %.2f calls each; with the same time for all %.3f with %.2f", served, calls, before, callsBefore)
	is.True(served > before+0.05)
	is.True(calls < callsBefore)
	var s retrySchedule
	for range 1000 {
		is.True(s.book(time.Unix(1000, 0), time.Millisecond, time.Second) <= maxRetryAfter)
	}
}
