package quota

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/model"
)

const (
	// The case of the booking platform: the requests of 75 tenants follow Zipf's law, and each quota is 1.6 times the demand with a
	// burst of one second of the rate. Demand grows with the daemons.
	tenantCount     = 75
	zipfExponent    = 1.2
	demandPerDaemon = 1850.0 / 66
	quotaFactor     = 1.6
	// warmUp is the virtual time before the measurement, in which nothing fails.
	warmUp = 6 * time.Second
	// faultAt is when a scenario's fault begins, after the warm-up, and faultLength how long it lasts.
	faultAt     = 3 * time.Second
	faultLength = 8 * time.Second
	// restartTime is the time in which a killed process is back.
	restartTime = time.Second
	// startTime is the time over which daemons settle that start together.
	startTime = 5 * time.Second
	// excess is the multiple of its demand that the largest tenant sends in some scenarios.
	excess = 8.0
	// lowered is the factor by which its limit is lowered.
	lowered = 0.5
)

// scenario is what happens to the daemons and the largest tenant. begin runs after the warm-up.
type scenario struct {
	name    string
	arrival func(r *rand.Rand, daemons int) int
	begin   func(s *Simulation, largest *Tenant)
}

var scenarios = []scenario{
	{name: "even"},
	{name: "skewed", arrival: skewedArrival},
	{name: "one-daemon", arrival: func(*rand.Rand, int) int { return 0 }},
	{name: "excess", begin: func(_ *Simulation, t *Tenant) { t.Demand *= excess }},
	{name: "owner-killed", begin: func(s *Simulation, t *Tenant) {
		s.After(faultAt, func() { s.Kill(t.owner, restartTime) })
	}},
	{name: "owner-frozen", begin: func(s *Simulation, t *Tenant) {
		s.After(faultAt, func() { s.Freeze(s.Owner(t), faultLength) })
	}},
	{name: "owner-partitioned", begin: func(s *Simulation, t *Tenant) {
		s.After(faultAt, func() { s.Owner(t).Group = 1 })
		s.After(faultAt+faultLength, func() { s.Owner(t).Group = 0 })
	}},
	{name: "half-partitioned", begin: func(s *Simulation, _ *Tenant) {
		s.After(faultAt, func() { s.partitionHalf(1) })
		s.After(faultAt+faultLength, func() { s.partitionHalf(0) })
	}},
	{name: "half-partitioned-excess", begin: func(s *Simulation, t *Tenant) {
		t.Demand *= excess
		s.After(faultAt, func() { s.partitionHalf(1) })
		s.After(faultAt+faultLength, func() { s.partitionHalf(0) })
	}},
	{name: "limit-lowered", begin: func(_ *Simulation, t *Tenant) {
		t.Demand *= excess
		t.Limit.Rate, t.Limit.Burst = t.Limit.Rate*lowered, t.Limit.Burst*lowered
	}},
	{name: "all-started", begin: func(s *Simulation, _ *Tenant) { s.Start(startTime) }},
}

func (s *Simulation) partitionHalf(group int) {
	for i := range len(s.Daemons) / 2 {
		s.Daemons[2*i].Group = group
	}
}

// skewedArrival sends most requests to few daemons: half of them to an eighth of the daemons.
func skewedArrival(r *rand.Rand, daemons int) int {
	return int(math.Pow(r.Float64(), 3) * float64(daemons))
}

// newTenants returns the tenants of a deployment, the largest first.
func newTenants(daemons int, arrival func(*rand.Rand, int) int) []*Tenant {
	sum := 0.0
	for rank := 1; rank <= tenantCount; rank++ {
		sum += math.Pow(float64(rank), -zipfExponent)
	}
	var tenants []*Tenant
	for rank := 1; rank <= tenantCount; rank++ {
		demand := demandPerDaemon * float64(daemons) * math.Pow(float64(rank), -zipfExponent) / sum
		tenants = append(tenants, &Tenant{
			Name: model.TenantName("tenant-" + strconv.Itoa(rank)), Demand: demand, Arrival: arrival, Limit: quota.Limit{
				Rate: quotaFactor * demand, Burst: quotaFactor * demand,
				Settings: quota.Settings{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20},
			},
		})
	}
	return tenants
}

// Row is the result of one scenario.
type Row struct {
	Daemons  int
	Scenario string
	// Messages and Bytes are those that a daemon sends per second, replies included.
	Messages, BusiestMessages, Bytes, BusiestBytes float64
	// Worst is the worst window of any tenant as a part of what its limit allows. Missing is the part of the requests that one bucket
	// over all daemons would admit, and that were not executed nor others of the tenant in their place.
	Worst, Missing           float64
	EqualWorst, EqualMissing float64
}

// measure runs one scenario.
func measure(sc scenario, daemons int, duration, delay time.Duration, seed uint64) Row {
	tenants := newTenants(daemons, sc.arrival)
	s := NewSimulation(seed, daemons, tenants)
	s.MaxDelay = delay
	s.Run(warmUp)
	s.forget()
	before := s.Now()
	if sc.begin != nil {
		sc.begin(s, tenants[0])
	}
	s.Run(duration)
	row := Row{Daemons: daemons, Scenario: sc.name}
	for _, d := range s.Daemons {
		messages, bytes := float64(d.Sent)/duration.Seconds(), float64(d.SentBytes)/duration.Seconds()
		row.Messages += messages / float64(daemons)
		row.Bytes += bytes / float64(daemons)
		row.BusiestMessages, row.BusiestBytes = max(row.BusiestMessages, messages), max(row.BusiestBytes, bytes)
	}
	within, missing, equalMissing := 0, 0, 0
	for _, t := range tenants {
		within += t.Within
		missing += max(0, t.Within-len(t.Executed))
		equalMissing += max(0, t.Within-len(t.EqualExecuted))
	}
	row.Missing, row.EqualMissing = float64(missing)/float64(within), float64(equalMissing)/float64(within)
	// A lowered limit is binding one window after the daemons have it.
	from := before
	if sc.name == "limit-lowered" {
		from += tenants[0].Limit.Window
	}
	row.Worst = worstShare(tenants, from, func(t *Tenant) []time.Duration { return t.Executed })
	row.EqualWorst = worstShare(tenants, from, func(t *Tenant) []time.Duration { return t.EqualExecuted })
	return row
}

// forget discards the counts so far.
func (s *Simulation) forget() {
	for _, d := range s.Daemons {
		d.Sent, d.SentBytes = 0, 0
	}
	for _, t := range s.Tenants {
		t.Refused, t.Within = 0, 0
		t.Executed, t.EqualExecuted = nil, nil
	}
}

func format(f float64, digits int) string { return strconv.FormatFloat(f, 'f', digits, 64) }

func percent(f float64) string { return format(100*f, 2) + "%" }
