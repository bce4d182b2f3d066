// Package quota measures how the quotas of tenants are kept over many daemons, against equal shares of them. It drives the
// decision types of internal/command/quota by a virtual clock over in-memory links.
package quota

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}

// Simulation is a number of daemons with tenants. Changes of its exported fields take effect at once.
type Simulation struct {
	Tenants []*Tenant
	Daemons []*Daemon
	// Loss is the part of the messages that are lost, and MaxDelay the longest time of a message.
	Loss     float64
	MaxDelay time.Duration
	// Returned is the part of the requests that are refused as not executed, up to maxReturnDelay later.
	Returned float64

	now      time.Duration
	order    int
	queue    eventQueue
	random   *rand.Rand
	sequence uint64
}

const (
	linkDelay      = 500 * time.Microsecond
	maxReturnDelay = 400 * time.Millisecond
)

// Tenant is a tenant with its quota, and what happened to its requests.
type Tenant struct {
	Name  model.TenantName
	Limit quota.Limit
	// Demand is the number of requests per second over all daemons. Arrival draws the daemon of a request; nil means any.
	Demand  float64
	Arrival func(r *rand.Rand, daemons int) int
	// Executed holds the times of the executed requests, EqualExecuted those under equal shares.
	Executed, EqualExecuted []time.Duration
	// Refused counts the refused requests, and Within the requests that one bucket over all daemons would admit.
	Refused, Within int

	ideal  *rate.Limiter
	equal  map[int]*rate.Limiter
	owner  int
	weight uint64
}

// Daemon is a daemon of the simulation.
type Daemon struct {
	// Frozen daemons do nothing, and daemons with another Group cannot be reached. Killed ones lose their state, see Kill.
	Frozen bool
	Group  int
	// Sent counts the messages and SentBytes their bytes.
	Sent, SentBytes int

	id       model.DaemonID
	settled  bool
	killed   int
	balances map[*Tenant]*balance
	buckets  map[*Tenant]*quota.Bucket
	pending  []func()
}

// balance is a local balance of a tenant. asked is the sequence of the request without an answer, 0 if there is none.
type balance struct {
	*quota.Balance
	asked uint64
}

// NewSimulation returns a simulation of settled daemons.
func NewSimulation(seed uint64, daemons int, tenants []*Tenant) *Simulation {
	s := &Simulation{Tenants: tenants, MaxDelay: 2 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range daemons {
		s.Daemons = append(s.Daemons, &Daemon{
			id: model.DaemonID("sidecar-" + string(rune('a'+i%26)) + "-" + time.Duration(i).String()), settled: true,
		})
		s.reset(i)
	}
	for _, t := range tenants {
		t.ideal = rate.NewLimiter(rate.Limit(t.Limit.Rate), int(t.Limit.Burst))
		t.equal = map[int]*rate.Limiter{}
		for i, d := range s.Daemons {
			if w := quota.Weight(t.Name, d.id); i == 0 || w > t.weight {
				t.owner, t.weight = i, w
			}
		}
		s.scheduleArrival(t)
	}
	return s
}

// reset gives a daemon the state of a new process.
func (s *Simulation) reset(i int) {
	d := s.Daemons[i]
	d.balances, d.buckets, d.pending = map[*Tenant]*balance{}, map[*Tenant]*quota.Bucket{}, nil
}

// Owner returns the owner of a tenant.
func (s *Simulation) Owner(t *Tenant) *Daemon { return s.Daemons[t.owner] }

// SetOwner makes another daemon the owner of a tenant.
func (s *Simulation) SetOwner(t *Tenant, i int) {
	delete(s.Owner(t).buckets, t)
	t.owner = i
	s.Owner(t).buckets[t] = quota.NewBucket(s.now)
}

// Start makes all daemons start now and settle within a time.
func (s *Simulation) Start(within time.Duration) {
	for i := range s.Daemons {
		s.Kill(i, time.Duration(s.random.Int64N(int64(within))))
	}
}

// Kill makes a daemon lose its state. It is settled again after a time.
func (s *Simulation) Kill(i int, down time.Duration) {
	d := s.Daemons[i]
	s.reset(i)
	d.settled = false
	d.killed++
	s.After(down, func() {
		d.settled = true
		for _, t := range s.Tenants {
			if t.owner == i {
				d.buckets[t] = quota.NewBucket(s.now)
			}
		}
	})
}

// Now returns the virtual time.
func (s *Simulation) Now() time.Duration { return s.now }

// After runs a function after a virtual time.
func (s *Simulation) After(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + d, s.order, run})
}

// Run runs the simulation for a virtual time.
func (s *Simulation) Run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// scheduleArrival schedules the next request of a tenant. The times between requests are exponentially distributed.
func (s *Simulation) scheduleArrival(t *Tenant) {
	if t.Demand <= 0 {
		s.After(10*time.Millisecond, func() { s.scheduleArrival(t) })
		return
	}
	gap := min(s.random.ExpFloat64()/t.Demand, 1)
	s.After(time.Duration(gap*float64(time.Second)), func() {
		s.arrive(t)
		s.scheduleArrival(t)
	})
}

func (s *Simulation) arrive(t *Tenant) {
	i := 0
	if t.Arrival != nil {
		i = t.Arrival(s.random, len(s.Daemons))
	} else {
		i = s.random.IntN(len(s.Daemons))
	}
	d := s.Daemons[i]
	if d.Frozen || !d.settled {
		return
	}
	at := time.Unix(0, int64(s.now))
	t.ideal.SetLimitAt(at, rate.Limit(t.Limit.Rate))
	if t.ideal.AllowN(at, 1) {
		t.Within++
	}
	s.arriveEqual(t, i, at)
	b := s.balance(d, t)
	s.conclude(t, b, b.Take(s.now, t.Limit))
	s.ask(i, t, b)
}

// arriveEqual decides on a request under equal shares.
func (s *Simulation) arriveEqual(t *Tenant, i int, at time.Time) {
	n := float64(len(s.Daemons))
	equal := t.equal[i]
	if equal == nil {
		equal = rate.NewLimiter(rate.Limit(t.Limit.Rate/n), max(1, int(t.Limit.Burst/n)))
		t.equal[i] = equal
	}
	equal.SetLimitAt(at, rate.Limit(t.Limit.Rate/n))
	if equal.AllowN(at, 1) {
		t.EqualExecuted = append(t.EqualExecuted, s.now)
	}
}

func (s *Simulation) balance(d *Daemon, t *Tenant) *balance {
	if d.balances[t] == nil {
		s.sequence += 1 << 32
		d.balances[t] = &balance{Balance: quota.NewBalance(s.sequence)}
	}
	return d.balances[t]
}

// conclude ends a request with a result, unless it waits.
func (s *Simulation) conclude(t *Tenant, b *balance, result quota.Result) {
	switch {
	case result.Kind == quota.Refused:
		t.Refused++
	case result.Kind == quota.Taken && s.random.Float64() < s.Returned:
		s.After(time.Duration(s.random.Int64N(int64(maxReturnDelay))), func() { b.Return(s.now, result.Token) })
	case result.Kind == quota.Taken:
		t.Executed = append(t.Executed, s.now)
	}
}

// ask sends a daemon's request to the owner of a tenant if one is due.
func (s *Simulation) ask(i int, t *Tenant, b *balance) {
	q, due := b.Ask(s.now)
	if !due {
		return
	}
	d, owner := s.Daemons[i], s.Owner(t)
	q.Tenant, q.Borrower, b.asked = t.Name, quota.BorrowerID(d.id), q.Sequence
	life := d.killed
	answer := func(reply *message.QuotaReply) {
		s.whenRunning(d, func() {
			if b.asked == q.Sequence && d.killed == life {
				b.asked = 0
				s.answer(i, t, b, reply)
			}
		})
	}
	if owner == d {
		reply := s.grant(d, t, &q)
		answer(&reply)
		return
	}
	s.After(quota.AskTimeout, func() { answer(nil) })
	s.send(d, owner, &q, func() {
		reply := s.grant(owner, t, &q)
		s.send(owner, d, &reply, func() { answer(&reply) })
	})
}

// grant is the owner's part: it answers if it is the owner.
func (s *Simulation) grant(d *Daemon, t *Tenant, q *message.QuotaRequest) message.QuotaReply {
	switch {
	case !d.settled:
		return message.QuotaReply{Code: message.Refused}
	case s.Owner(t) != d:
		return message.QuotaReply{Code: message.NotOwner}
	case d.buckets[t] == nil:
		d.buckets[t] = quota.NewBucket(0)
	}
	return d.buckets[t].Grant(s.now, t.Limit, q)
}

func (s *Simulation) answer(i int, t *Tenant, b *balance, reply *message.QuotaReply) {
	for _, result := range b.Answer(s.now, t.Limit, reply, t.Limit.FallbackShare(t.Name, i, len(s.Daemons))) {
		s.conclude(t, b, result)
	}
	s.ask(i, t, b)
}

// send delivers a message after a delay, unless it is lost or the daemons cannot reach each other.
func (s *Simulation) send(from, to *Daemon, body any, deliver func()) {
	from.Sent++
	from.SentBytes += wireSize(body)
	if from.Group != to.Group || s.random.Float64() < s.Loss {
		return
	}
	life := to.killed
	s.After(linkDelay+time.Duration(s.random.Int64N(int64(s.MaxDelay))), func() {
		if to.killed == life {
			s.whenRunning(to, deliver)
		}
	})
}

// whenRunning runs a function of a daemon now, or when it is not frozen any more.
func (s *Simulation) whenRunning(d *Daemon, run func()) {
	if d.Frozen {
		d.pending = append(d.pending, run)
		return
	}
	run()
}

// Freeze stops a daemon for a time, after which it processes what has arrived.
func (s *Simulation) Freeze(d *Daemon, length time.Duration) {
	d.Frozen = true
	s.After(length, func() {
		d.Frozen = false
		pending := d.pending
		d.pending = nil
		for _, run := range pending {
			run()
		}
	})
}
