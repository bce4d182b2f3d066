package callers

import "time"

// State says what a connection waits for.
type State uint8

// States of a connection.
const (
	// Busy means that the process works for the caller; such a connection is never ended in favour of another.
	Busy State = iota
	// Idle means that no request has begun.
	Idle
	// Receiving means that a request has begun and is incomplete.
	Receiving
	// Sending means that the caller has not read its response.
	Sending
)

// Owner is the connection behind an entry of a Ledger.
type Owner interface {
	// Waiting returns what the connection waits for, and since when.
	Waiting() (State, time.Time)
}

// Reason says which limit a caller has reached.
type Reason string

// Reasons.
const (
	Admitted    Reason = ""
	Connections Reason = "connections"
	Bytes       Reason = "bytes"
	Tenant      Reason = "tenant"
)

// use is what the connections of one address or listener have.
type use struct {
	bytes       int64
	connections int
}

// Entry is a connection in a Ledger.
type Entry struct {
	owner Owner
	// address and listener are the keys of the parts to which the connection belongs.
	address, listener string
	bytes             int64
	previous, next    *Entry
	ended             bool
}

// Owner returns the connection.
func (e *Entry) Owner() Owner { return e.owner }

// Ledger records what the process holds for callers. It is not safe for concurrent use.
type Ledger struct {
	limits Limits
	total  use
	parts  map[string]*use
	// tenants holds the bytes of the requests of each tenant.
	tenants map[string]int64
	// root is the head of the ring of entries. A search for one that can be ended begins after it, and moves those that it passed to
	// the other end.
	root Entry
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	l := &Ledger{limits: limits, parts: map[string]*use{}, tenants: map[string]int64{}}
	l.root.previous, l.root.next = &l.root, &l.root
	return l
}

// Held returns the bytes and the connections that are held for callers.
func (l *Ledger) Held() (bytes int64, connections int) { return l.total.bytes, l.total.connections }

// IsFull reports whether more is held than the limit, which Charge allows.
func (l *Ledger) IsFull() bool { return l.total.bytes > l.limits.Bytes }

// Open adds a connection. If a limit is reached, connections that wait for their callers are ended in its favour; these are returned,
// and their owners must close them. Without one that can be ended the new connection is refused, and the entry is nil.
func (l *Ledger) Open(owner Owner, address, listener string, now time.Time) (entry *Entry, ended []*Entry, reason Reason) {
	e := &Entry{owner: owner, address: "address " + address, listener: "listener " + listener}
	if l.connectionsFull(e) {
		victim := l.findVictim(e, 0, now, Idle)
		if victim == nil {
			return nil, nil, Connections
		}
		l.Close(victim)
		ended = append(ended, victim)
		if l.connectionsFull(e) {
			return nil, ended, Connections
		}
	}
	more, ok := l.makeRoom(e, ConnectionBytes, now)
	ended = append(ended, more...)
	if !ok {
		return nil, ended, Bytes
	}
	l.insert(e)
	for _, u := range l.usesOf(e) {
		u.connections++
	}
	l.add(e, ConnectionBytes)
	return e, ended, Admitted
}

// Close removes a connection with all that is held for it. Removing it again has no effect.
func (l *Ledger) Close(e *Entry) {
	if e.ended {
		return
	}
	for _, u := range l.usesOf(e) {
		u.connections--
	}
	l.add(e, -e.bytes)
	e.ended = true
	e.previous.next, e.next.previous = e.next, e.previous
	for _, key := range [...]string{e.address, e.listener} {
		if u := l.parts[key]; u != nil && u.connections == 0 {
			delete(l.parts, key)
		}
	}
}

// Reserve charges bytes to a connection. If a limit is reached, others are ended as by Open. It returns false if the bytes must not be
// held.
func (l *Ledger) Reserve(e *Entry, n int64, now time.Time) (ended []*Entry, ok bool) {
	if e.ended {
		return nil, false
	}
	if ended, ok = l.makeRoom(e, n, now); ok {
		l.add(e, n)
	}
	return ended, ok
}

// Charge is Reserve for bytes that are held already, such as those of a response: they are charged whether there is room or not.
func (l *Ledger) Charge(e *Entry, n int64, now time.Time) (ended []*Entry) {
	if e.ended {
		return nil
	}
	ended, _ = l.makeRoom(e, n, now)
	if !e.ended {
		l.add(e, n)
	}
	return ended
}

// Release returns bytes that were charged to a connection.
func (l *Ledger) Release(e *Entry, n int64) {
	if !e.ended {
		l.add(e, -min(n, e.bytes))
	}
}

// ReserveTenant charges bytes to a tenant, and returns false if its part would be exceeded. A tenant without a request gets any
// number.
func (l *Ledger) ReserveTenant(tenant string, n int64) bool {
	held := l.tenants[tenant]
	if held > 0 && held+n > part(l.limits.Bytes, l.limits.TenantShare) {
		return false
	}
	l.tenants[tenant] = held + n
	return true
}

// ReleaseTenant returns bytes that were charged to a tenant.
func (l *Ledger) ReleaseTenant(tenant string, n int64) {
	if l.tenants[tenant] -= n; l.tenants[tenant] <= 0 {
		delete(l.tenants, tenant)
	}
}

func part(n int64, share float64) int64 { return int64(float64(n) * share) }

func (l *Ledger) usesOf(e *Entry) [3]*use {
	return [3]*use{&l.total, l.part(e.address), l.part(e.listener)}
}

func (l *Ledger) part(key string) *use {
	u := l.parts[key]
	if u == nil {
		u = &use{}
		l.parts[key] = u
	}
	return u
}

func (l *Ledger) add(e *Entry, n int64) {
	e.bytes += n
	for _, u := range l.usesOf(e) {
		u.bytes += n
	}
}

func (l *Ledger) connectionsFull(e *Entry) bool {
	all := int64(l.limits.Connections)
	return l.total.connections >= l.limits.Connections || int64(l.used(e.address).connections) >= part(all, l.limits.AddressShare) ||
		int64(l.used(e.listener).connections) >= part(all, l.limits.ListenerShare)
}

// used returns the use of a part without creating it, so that refused addresses leave nothing behind.
func (l *Ledger) used(key string) use {
	if u := l.parts[key]; u != nil {
		return *u
	}
	return use{}
}

func (l *Ledger) bytesFull(e *Entry, n int64) bool {
	all := l.limits.Bytes
	return l.total.bytes+n > all || l.used(e.address).bytes+n > part(all, l.limits.AddressShare) ||
		l.used(e.listener).bytes+n > part(all, l.limits.ListenerShare)
}

// maxEndedAtOnce bounds the connections that are ended in favour of one.
const maxEndedAtOnce = 8

// makeRoom ends connections until n bytes more can be held for a connection, and reports whether they can.
func (l *Ledger) makeRoom(e *Entry, n int64, now time.Time) (ended []*Entry, ok bool) {
	for l.bytesFull(e, n) {
		victim := l.findVictim(e, n, now, Receiving)
		if victim == nil || len(ended) == maxEndedAtOnce {
			return ended, false
		}
		l.Close(victim)
		ended = append(ended, victim)
	}
	return ended, true
}

// searchSteps bounds a search, so that its cost does not grow with the number of connections. The next search goes on behind it.
const searchSteps = 64

// findVictim returns the connection that can be ended in favour of another, nil if there is none: of those looked at, the one that
// holds the most, in the state least or a later one. Unless the whole is full, it has to share the address or the listener.
func (l *Ledger) findVictim(e *Entry, n int64, now time.Time, least State) *Entry {
	anywhere := l.total.connections >= l.limits.Connections || l.total.bytes+n > l.limits.Bytes
	var best *Entry
	bestState := Busy
	for range min(searchSteps, l.total.connections) {
		candidate := l.root.next
		l.moveToEnd(candidate)
		if candidate == e || !anywhere && candidate.address != e.address && candidate.listener != e.listener {
			continue
		}
		state, since := candidate.owner.Waiting()
		if state < least || now.Sub(since) < l.limits.Grace {
			continue
		}
		// One that is idle may be an ordinary caller's, so it is ended last.
		if best == nil || (bestState == Idle && state > Idle) || (bestState == Idle) == (state == Idle) && candidate.bytes > best.bytes {
			best, bestState = candidate, state
		}
	}
	return best
}

func (l *Ledger) insert(e *Entry) {
	e.previous, e.next = l.root.previous, &l.root
	e.previous.next, l.root.previous = e, e
}

func (l *Ledger) moveToEnd(e *Entry) {
	e.previous.next, e.next.previous = e.next, e.previous
	l.insert(e)
}
