// Package moves measures policies of moves against drawn versions, good and bad, on a virtual clock.
package moves

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/model"
)

// Kinds of drawn versions. The first five are good, the others bad.
const (
	KindSame      = "good: same"
	KindBetter    = "good: better"
	KindDifferent = "good: a little different"
	KindShared    = "good: fault hits both"
	KindOldBad    = "good: old version bad"
	KindAtOnce    = "bad at once"
	KindLater     = "bad later"
	KindUnderLoad = "bad under load"
	KindOneRoute  = "bad on one route"
	KindSlow      = "bad: slow"
	KindFlapping  = "bad: flapping"
	goodKinds     = 5
)

var kinds = [...]string{
	KindSame, KindBetter, KindDifferent, KindShared, KindOldBad,
	KindAtOnce, KindLater, KindUnderLoad, KindOneRoute, KindSlow, KindFlapping,
}

// customer holds the sizes of a customer. The call rates are assumptions; the other figures are the design's.
type customer struct {
	name             string
	dataCentres      []model.DataCentre
	region           model.Region
	services         []model.ServiceName
	upstreamsLow     int
	upstreamsHigh    int
	slots            int
	rateLow          float64
	rateHigh         float64
	medianLow        time.Duration
	medianHigh       time.Duration
	shortest         time.Duration
	longest          time.Duration
	connectionsLimit int
}

// Customers names the customers that Run knows.
var Customers = []string{"most-mladych", "granite-ledger"}

func customerByName(name string) (customer, error) {
	c := customer{name: name, shortest: 10 * time.Minute, longest: 40 * time.Minute, medianLow: 15 * time.Millisecond, medianHigh: 90 * time.Millisecond}
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

// route is one drawn route.
type route struct {
	name    model.RouteName
	part    float64
	failure float64
	median  float64 // seconds
	sigma   float64
}

// draw is everything that is decided before a run. All policies see the same draws.
type draw struct {
	customer  customer
	kind      string
	service   model.ServiceName
	upstreams int
	rate      float64
	length    time.Duration
	routes    []route
	// failure and slowness are the new version's while it is bad; ratio and pace while it is not.
	failure, slowness float64
	ratio, pace       float64
	badRoute          int
	onset             float64 // part of length
	threshold         float64 // share
	period, duty      float64 // seconds, part
	shared            fault
	oldFault          fault
	blind             outage
	takeover          outage
	outcomes          uint64
}

// fault is a failure rate during an interval, in seconds since the start.
type fault struct{ from, to, rate float64 }

func (f fault) at(t float64) float64 {
	if t >= f.from && t < f.to {
		return f.rate
	}
	return 0
}

// outage is an interval in which a data centre reports nothing, or no driver is alive.
type outage struct {
	from, to   float64
	dataCentre int
	// lost says that the reports of the interval are lost rather than late.
	lost bool
}

func (o outage) at(t float64) bool { return t >= o.from && t < o.to }

func (d *draw) bad() bool {
	for _, k := range kinds[:goodKinds] {
		if d.kind == k {
			return false
		}
	}
	return true
}

func logUniform(r *rand.Rand, low, high float64) float64 {
	return math.Exp(uniform(r, math.Log(low), math.Log(high)))
}

func uniform(r *rand.Rand, low, high float64) float64 { return low + r.Float64()*(high-low) }

// drawRun draws run number i: every second run is good, the kinds take turns.
func drawRun(c customer, seed uint64, i int) draw {
	r := rand.New(rand.NewPCG(seed, uint64(i)))
	d := draw{customer: c, outcomes: r.Uint64()}
	if i%2 == 0 {
		d.kind = kinds[(i/2)%goodKinds]
	} else {
		d.kind = kinds[goodKinds+(i/2)%(len(kinds)-goodKinds)]
	}
	d.service = c.services[r.IntN(len(c.services))]
	d.upstreams = c.upstreamsLow + r.IntN(c.upstreamsHigh-c.upstreamsLow+1)
	d.rate = logUniform(r, c.rateLow, c.rateHigh)
	d.length = time.Duration(logUniform(r, float64(c.shortest), float64(c.longest))).Truncate(time.Second)
	d.drawRoutes(r)
	d.drawVersion(r)
	d.drawSurroundings(r)
	return d
}

func (d *draw) drawRoutes(r *rand.Rand) {
	count := 1 + r.IntN(4)
	sum := 0.0
	for i := range count {
		rt := route{
			name: model.RouteName("route-" + string(rune('a'+i))), part: uniform(r, 0.2, 1),
			failure: logUniform(r, 0.0002, 0.01), sigma: uniform(r, 0.25, 0.7),
			median: logUniform(r, d.customer.medianLow.Seconds(), d.customer.medianHigh.Seconds()),
		}
		sum += rt.part
		d.routes = append(d.routes, rt)
	}
	for i := range d.routes {
		d.routes[i].part /= sum
	}
}

// drawVersion draws the new version. A bad one fails 5% to 100% of its calls while it is bad, or is 2.5 to 10 times
// slower.
func (d *draw) drawVersion(r *rand.Rand) {
	d.ratio, d.pace, d.slowness, d.badRoute = 1, 1, 1, -1
	d.failure = logUniform(r, 0.05, 1)
	slow := logUniform(r, 2.5, 10)
	length := d.length.Seconds()
	d.onset = uniform(r, 0.1, 0.85)
	d.threshold = logUniform(r, 0.015, 0.85)
	d.period, d.duty = uniform(r, 20, 60), uniform(r, 0.3, 0.7)
	d.badRoute = -1
	switch d.kind {
	case KindBetter:
		d.ratio, d.pace = uniform(r, 0.2, 0.9), uniform(r, 0.6, 0.95)
	case KindDifferent:
		d.ratio, d.pace = uniform(r, 0.8, 1.2), uniform(r, 0.9, 1.15)
	case KindOldBad:
		from := uniform(r, 0, 0.7) * length
		d.oldFault = fault{from: from, to: from + uniform(r, 20, 200), rate: logUniform(r, 0.05, 1)}
	case KindOneRoute:
		d.badRoute = r.IntN(len(d.routes))
	case KindSlow:
		d.failure, d.slowness = 0, slow
	}
}

// drawSurroundings draws what happens to the system itself.
func (d *draw) drawSurroundings(r *rand.Rand) {
	length := d.length.Seconds()
	from := uniform(r, 0, 0.95) * length
	shared := fault{from: from, to: from + uniform(r, 5, 60), rate: logUniform(r, 0.05, 1)}
	if r.Float64() < 0.1 || d.kind == KindShared {
		d.shared = shared
	}
	from = uniform(r, 0, 0.95) * length
	blind := outage{from: from, to: from + uniform(r, 5, 30), dataCentre: r.IntN(len(d.customer.dataCentres)), lost: r.Float64() < 0.5}
	if r.Float64() < 0.1 {
		d.blind = blind
	}
	from = uniform(r, 0, 0.95) * length
	if takeover := (outage{from: from, to: from + uniform(r, 5, 12)}); r.Float64() < 0.25 {
		d.takeover = takeover
	}
}

// badAt reports whether the new version is bad on a route at a time, given the share of calls that it receives.
func (d *draw) badAt(t float64, route int, share float64) bool {
	switch d.kind {
	case KindAtOnce, KindSlow:
		return true
	case KindLater:
		return t >= d.onset*d.length.Seconds()
	case KindUnderLoad:
		return share >= d.threshold
	case KindOneRoute:
		return route == d.badRoute
	case KindFlapping:
		return math.Mod(t, d.period) < d.duty*d.period
	}
	return false
}
