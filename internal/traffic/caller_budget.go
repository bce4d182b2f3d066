package traffic

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/command/callers"
)

// CallerBudget bounds what the process holds for callers on all of its listeners, and ends connections in favour of others once a
// limit is reached. A nil budget bounds nothing.
type CallerBudget struct {
	limits  callers.Limits
	metrics *Metrics

	mu     sync.Mutex
	ledger *callers.Ledger
}

// NewCallerBudget returns a budget of which nothing is used.
func NewCallerBudget(limits callers.Limits, metrics *Metrics) *CallerBudget {
	return &CallerBudget{limits: limits, metrics: metrics, ledger: callers.NewLedger(limits)}
}

// Held returns the bytes and the connections that are held for callers.
func (b *CallerBudget) Held() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Held()
}

// fields returns the limit of the fields of a head.
func (b *CallerBudget) fields() int {
	if b == nil {
		return 0
	}
	return b.limits.Fields
}

// open adds a connection, which end closes. It returns false if the connection is refused.
func (b *CallerBudget) open(address net.Addr, listener string, end func()) (*callerConn, bool) {
	if b == nil {
		return nil, true
	}
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		host = address.String()
	}
	c := &callerConn{budget: b, end: end, granted: callers.RequestBytes}
	c.setIdle()
	b.mu.Lock()
	entry, ended, reason := b.ledger.Open(c, host, listener, time.Now())
	c.entry = entry
	b.mu.Unlock()
	b.endAll(ended)
	if entry == nil {
		b.refused(string(reason))
	}
	return c, entry != nil
}

// refused counts a caller that was refused.
func (b *CallerBudget) refused(reason string) {
	if b != nil && b.metrics != nil {
		b.metrics.callersRefused.Add(context.Background(), reason, 1)
	}
}

// endAll closes connections that were removed from the ledger.
func (b *CallerBudget) endAll(ended []*callers.Entry) {
	for _, e := range ended {
		c, ok := e.Owner().(*callerConn)
		if !ok {
			continue
		}
		state, _ := c.Waiting()
		c.end()
		if b.metrics != nil {
			b.metrics.callersEnded.Add(context.Background(), stateNames[state], 1)
		}
	}
}

var stateNames = map[callers.State]string{
	callers.Busy: "busy", callers.Idle: "idle", callers.Receiving: "receiving", callers.Sending: "sending",
}

// holdTenant charges a request to its tenant. It returns a refusal if the tenant's part is exhausted.
func (b *CallerBudget) holdTenant(tenant string, n int64) *refusal {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	ok := b.ledger.ReserveTenant(tenant, n)
	b.mu.Unlock()
	if ok {
		return nil
	}
	b.refused(string(callers.Tenant))
	return callersRefusal("the requests of the tenant hold their part of the memory for callers")
}

func (b *CallerBudget) releaseTenant(tenant string, n int64) {
	if b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ledger.ReleaseTenant(tenant, n)
	}
}

// callersRefusal returns the refusal of a request for which there is no room.
func callersRefusal(detail string) *refusal {
	return notExecuted(http.StatusServiceUnavailable, reasonCallersOverLimit, detail).withRetryAfter(time.Second)
}

// callerConn is the account of a caller's connection. Small amounts are taken from what was granted in larger steps, so that most
// requests do not reach the ledger. A nil account bounds nothing.
type callerConn struct {
	budget *CallerBudget
	entry  *callers.Entry
	// end closes the connection at once.
	end func()
	// idleSince, receivingSince and sendingSince are the times since which the connection waits for its caller in these ways, as
	// nanoseconds after startTime; 0 if it does not.
	idleSince, receivingSince, sendingSince atomic.Int64

	// requests counts the requests on a listener that serves no calls.
	requests atomic.Int32

	mu sync.Mutex
	// held is what is held for the connection, granted what the ledger has granted for that.
	held, granted int64
}

// startTime is the origin of the times of callerConn, which a jump of the time of day does not change.
var startTime = time.Now()

func sinceStart() int64 { return max(int64(time.Since(startTime)), 1) }

// Waiting returns what the connection waits for, and since when.
func (c *callerConn) Waiting() (callers.State, time.Time) {
	receiving, sending, idle := c.receivingSince.Load(), c.sendingSince.Load(), c.idleSince.Load()
	switch {
	case receiving != 0 && (sending == 0 || receiving <= sending):
		return callers.Receiving, startTime.Add(time.Duration(receiving))
	case sending != 0:
		return callers.Sending, startTime.Add(time.Duration(sending))
	case idle != 0:
		return callers.Idle, startTime.Add(time.Duration(idle))
	}
	return callers.Busy, time.Time{}
}

func (c *callerConn) setIdle() {
	if c != nil {
		c.receivingSince.Store(0)
		c.idleSince.Store(sinceStart())
	}
}

func (c *callerConn) setBusy() {
	if c != nil {
		c.idleSince.Store(0)
	}
}

// awaitInput marks that the rest of a request has to come from the caller, since the first call of several.
func (c *callerConn) awaitInput() {
	if c != nil && c.receivingSince.Load() == 0 {
		c.receivingSince.Store(sinceStart())
	}
}

// received marks that the request is complete.
func (c *callerConn) received() {
	if c != nil && c.receivingSince.Load() != 0 {
		c.receivingSince.Store(0)
	}
}

const (
	// grantStep is the least amount that is taken from the ledger, and keptGrant what is kept of a grant that is not used.
	grantStep = 16 << 10
	keptGrant = 64 << 10
)

// reserve takes bytes before they are held. It returns false if they must not be held.
func (c *callerConn) reserve(n int64) bool {
	if c == nil || n <= 0 {
		return true
	}
	ok, ended := c.take(n, false)
	c.budget.endAll(ended)
	if !ok {
		c.budget.refused(string(callers.Bytes))
	}
	return ok
}

// charge takes bytes that are held already.
func (c *callerConn) charge(n int64) {
	if c == nil || n <= 0 {
		return
	}
	_, ended := c.take(n, true)
	c.budget.endAll(ended)
}

func (c *callerConn) take(n int64, always bool) (ok bool, ended []*callers.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held+n <= c.granted {
		c.held += n
		return true, nil
	}
	step := max(c.held+n-c.granted, grantStep)
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	ok = true
	if always {
		ended = b.ledger.Charge(c.entry, step, time.Now())
	} else {
		ended, ok = b.ledger.Reserve(c.entry, step, time.Now())
	}
	if ok {
		c.held += n
		c.granted += step
	}
	return ok, ended
}

// release returns bytes.
func (c *callerConn) release(n int64) {
	if c == nil || n <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held -= n
	surplus := c.granted - max(c.held, callers.RequestBytes)
	if surplus <= keptGrant && (surplus < grantStep || c.held > 0) {
		return
	}
	c.granted -= surplus
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.ledger.Release(c.entry, surplus)
}

// close removes the connection from the budget.
func (c *callerConn) close() {
	if c != nil {
		c.budget.mu.Lock()
		defer c.budget.mu.Unlock()
		c.budget.ledger.Close(c.entry)
	}
}

// callerKey is the context key of the account of a connection of http.Server.
type callerKey struct{}

// callerOf returns the account of the connection on which a request came, nil if there is none.
func callerOf(r *http.Request) *callerConn {
	if a, ok := r.Context().Value(arrivalKey{}).(*arrival); ok {
		return a.caller
	}
	c, _ := r.Context().Value(callerKey{}).(*callerConn)
	return c
}
