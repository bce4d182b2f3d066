// Package moves measures policies that decide moves, on a virtual clock, with randomly drawn good and bad new versions.
package moves

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/model"
)

// Kinds of drawn new versions. The first five are good, the others bad.
const (
	KindSame              = "good: same"
	KindBetter            = "good: better"
	KindSlightlyDifferent = "good: a little different"
	KindSharedFault       = "good: fault hits both"
	KindOldVersionBad     = "good: old version bad"
	KindBadAtOnce         = "bad at once"
	KindBadLater          = "bad later"
	KindBadUnderLoad      = "bad under load"
	KindBadOnOneRoute     = "bad on one route"
	KindBadSlow           = "bad: slow"
	KindBadFlapping       = "bad: flapping"
	goodKindCount         = 5
)

var kinds = [...]string{
	KindSame, KindBetter, KindSlightlyDifferent, KindSharedFault, KindOldVersionBad,
	KindBadAtOnce, KindBadLater, KindBadUnderLoad, KindBadOnOneRoute, KindBadSlow, KindBadFlapping,
}

// customer holds the sizes of a customer. The call rates are assumptions; the other figures are those of the design.
type customer struct {
	name              string
	dataCentres       []model.DataCentre
	region            model.Region
	services          []model.ServiceName
	upstreamsLow      int
	upstreamsHigh     int
	slots             int
	rateLow           float64
	rateHigh          float64
	medianLatencyLow  time.Duration
	medianLatencyHigh time.Duration
	shortestMove      time.Duration
	longestMove       time.Duration
	connectionsLimit  int
}

// Customers are the names that Options.Customer allows.
var Customers = []string{"most-mladych", "granite-ledger"}

func customerByName(name string) (customer, error) {
	c := customer{
		name: name, shortestMove: 10 * time.Minute, longestMove: 40 * time.Minute,
		medianLatencyLow: 15 * time.Millisecond, medianLatencyHigh: 90 * time.Millisecond,
	}
	switch name {
	case "most-mladych":
		c.dataCentres = []model.DataCentre{"cz-a", "cz-b", "cz-c"}
		c.region = "cz-central"
		c.services = []model.ServiceName{"profiles", "placements", "families", "schools"}
		c.upstreamsLow, c.upstreamsHigh, c.slots, c.connectionsLimit = 3, 5, 12, 130
		c.rateLow, c.rateHigh = 30, 200
	case "granite-ledger":
		c.dataCentres = []model.DataCentre{"worcester", "concord", "portland"}
		c.region = "new-england"
		c.services = []model.ServiceName{"ticket-desk", "issuance", "hydro-log", "flue-log"}
		c.upstreamsLow, c.upstreamsHigh, c.slots, c.connectionsLimit = 3, 4, 10, 110
		c.rateLow, c.rateHigh = 20, 120
	default:
		return customer{}, errors.Errorf("customer %q is unknown; allowed: %v", name, Customers)
	}
	return c, nil
}

// route is one drawn route. callFraction is its fraction of the service's calls, sigma the spread of its lognormal latency.
type route struct {
	name          model.RouteName
	callFraction  float64
	failureRate   float64
	medianLatency float64 // seconds
	sigma         float64
}

// scenario is everything that is drawn before a run. All policies are measured on the same scenarios.
type scenario struct {
	customer  customer
	kind      string
	service   model.ServiceName
	upstreams int
	rate      float64
	duration  time.Duration
	routes    []route
	// While the new version is bad, badFailureRate is its failure rate and badLatencyRatio the ratio of its latency to the
	// old version's. While it is not bad, failureRatio and latencyRatio are the ratios to the old version's values.
	badFailureRate, badLatencyRatio float64
	failureRatio, latencyRatio      float64
	badRoute                        int
	onsetFraction                   float64 // time from which a version of KindBadLater is bad, as a fraction of duration
	loadThreshold                   float64 // share of calls from which a version of KindBadUnderLoad is bad
	flapPeriod, flapDutyCycle       float64 // of KindBadFlapping: seconds, and the fraction of the period in which it is bad
	sharedFault                     fault
	oldVersionFault                 fault
	reportOutage                    outage
	driverOutage                    outage
	outcomeSeed                     uint64
}

// fault is a failure rate during an interval, in seconds since the start.
type fault struct{ from, to, rate float64 }

func (f fault) rateAt(t float64) float64 {
	if t >= f.from && t < f.to {
		return f.rate
	}
	return 0
}

// outage is an interval, in seconds since the start, in which a data centre reports nothing or no driver is alive.
type outage struct {
	from, to   float64
	dataCentre int
	// lost says that the reports of the interval are lost; otherwise they arrive late.
	lost bool
}

func (o outage) contains(t float64) bool { return t >= o.from && t < o.to }

func (s *scenario) isBad() bool {
	for _, k := range kinds[:goodKindCount] {
		if s.kind == k {
			return false
		}
	}
	return true
}

func logUniform(r *rand.Rand, low, high float64) float64 {
	return math.Exp(uniform(r, math.Log(low), math.Log(high)))
}

func uniform(r *rand.Rand, low, high float64) float64 { return low + r.Float64()*(high-low) }

// drawScenario draws the scenario of run number i. Every second run has a good version; the kinds take turns.
func drawScenario(c customer, seed uint64, i int) scenario {
	r := rand.New(rand.NewPCG(seed, uint64(i)))
	s := scenario{customer: c, outcomeSeed: r.Uint64()}
	if i%2 == 0 {
		s.kind = kinds[(i/2)%goodKindCount]
	} else {
		s.kind = kinds[goodKindCount+(i/2)%(len(kinds)-goodKindCount)]
	}
	s.service = c.services[r.IntN(len(c.services))]
	s.upstreams = c.upstreamsLow + r.IntN(c.upstreamsHigh-c.upstreamsLow+1)
	s.rate = logUniform(r, c.rateLow, c.rateHigh)
	s.duration = time.Duration(logUniform(r, float64(c.shortestMove), float64(c.longestMove))).Truncate(time.Second)
	s.drawRoutes(r)
	s.drawVersion(r)
	s.drawFaults(r)
	return s
}

func (s *scenario) drawRoutes(r *rand.Rand) {
	count := 1 + r.IntN(4)
	sum := 0.0
	for i := range count {
		rt := route{
			name: model.RouteName("route-" + string(rune('a'+i))), callFraction: uniform(r, 0.2, 1),
			failureRate: logUniform(r, 0.0002, 0.01), sigma: uniform(r, 0.25, 0.7),
			medianLatency: logUniform(r, s.customer.medianLatencyLow.Seconds(), s.customer.medianLatencyHigh.Seconds()),
		}
		sum += rt.callFraction
		s.routes = append(s.routes, rt)
	}
	for i := range s.routes {
		s.routes[i].callFraction /= sum
	}
}

// drawVersion draws the new version. While a bad version is bad, 5% to 100% of its calls fail, or they are 2.5 to 10
// times slower.
func (s *scenario) drawVersion(r *rand.Rand) {
	s.failureRatio, s.latencyRatio, s.badLatencyRatio, s.badRoute = 1, 1, 1, -1
	s.badFailureRate = logUniform(r, 0.05, 1)
	slowRatio := logUniform(r, 2.5, 10)
	duration := s.duration.Seconds()
	s.onsetFraction = uniform(r, 0.1, 0.85)
	s.loadThreshold = logUniform(r, 0.015, 0.85)
	s.flapPeriod, s.flapDutyCycle = uniform(r, 20, 60), uniform(r, 0.3, 0.7)
	s.badRoute = -1
	switch s.kind {
	case KindBetter:
		s.failureRatio, s.latencyRatio = uniform(r, 0.2, 0.9), uniform(r, 0.6, 0.95)
	case KindSlightlyDifferent:
		s.failureRatio, s.latencyRatio = uniform(r, 0.8, 1.2), uniform(r, 0.9, 1.15)
	case KindOldVersionBad:
		from := uniform(r, 0, 0.7) * duration
		s.oldVersionFault = fault{from: from, to: from + uniform(r, 20, 200), rate: logUniform(r, 0.05, 1)}
	case KindBadOnOneRoute:
		s.badRoute = r.IntN(len(s.routes))
	case KindBadSlow:
		s.badFailureRate, s.badLatencyRatio = 0, slowRatio
	}
}

// drawFaults draws the faults that do not come from the new version: a fault of both versions, an outage of the reports
// of a data centre, and an outage of the driver.
func (s *scenario) drawFaults(r *rand.Rand) {
	duration := s.duration.Seconds()
	from := uniform(r, 0, 0.95) * duration
	sharedFault := fault{from: from, to: from + uniform(r, 5, 60), rate: logUniform(r, 0.05, 1)}
	if r.Float64() < 0.1 || s.kind == KindSharedFault {
		s.sharedFault = sharedFault
	}
	from = uniform(r, 0, 0.95) * duration
	reportOutage := outage{
		from: from, to: from + uniform(r, 5, 30), dataCentre: r.IntN(len(s.customer.dataCentres)), lost: r.Float64() < 0.5,
	}
	if r.Float64() < 0.1 {
		s.reportOutage = reportOutage
	}
	from = uniform(r, 0, 0.95) * duration
	if driverOutage := (outage{from: from, to: from + uniform(r, 5, 12)}); r.Float64() < 0.25 {
		s.driverOutage = driverOutage
	}
}

// isBadAt reports whether the new version is bad on a route at a time, given the share of calls that it receives.
func (s *scenario) isBadAt(t float64, route int, share float64) bool {
	switch s.kind {
	case KindBadAtOnce, KindBadSlow:
		return true
	case KindBadLater:
		return t >= s.onsetFraction*s.duration.Seconds()
	case KindBadUnderLoad:
		return share >= s.loadThreshold
	case KindBadOnOneRoute:
		return route == s.badRoute
	case KindBadFlapping:
		return math.Mod(t, s.flapPeriod) < s.flapDutyCycle*s.flapPeriod
	}
	return false
}
