package callers

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "sniperail.example/sniperail/internal/testseed"
)

// connection is an Owner whose state the test sets.
type connection struct {
	state State
	since time.Time
}

func (c *connection) Waiting() (State, time.Time) { return c.state, c.since }

var (
	testLimits = Limits{
		Bytes: 40 * ConnectionBytes, Connections: 20, AddressShare: 0.8, ListenerShare: 0.6, TenantShare: 0.5, Grace: time.Second,
	}
	begin = time.Unix(1000, 0)
)

// Guards against limits that a sequence of events exceeds, bytes that are lost or returned twice, and the end of a connection for which
// the process works or that has just begun to wait.
func TestLedgerKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, open := NewLedger(testLimits), begin, []*Entry{}
		checkEnded := func(ended []*Entry) {
			for _, e := range ended {
				if c := e.owner.(*connection); c.state == Busy || now.Sub(c.since) < testLimits.Grace || !e.ended {
					t.Fatalf("ended although it waits in state %d for %s", c.state, now.Sub(c.since))
				}
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			before, _ := l.Held()
			switch event := rapid.IntRange(0, 4).Draw(t, "event"); {
			case event == 0 || len(open) == 0:
				c := &connection{State(rapid.IntRange(0, 3).Draw(t, "state")), now}
				address := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "address"))
				e, ended, _ := l.Open(c, address, fmt.Sprint("l", rapid.IntRange(0, 2).Draw(t, "listener")), now)
				checkEnded(ended)
				if e != nil {
					open = append(open, e)
				}
			default:
				e := open[rapid.IntRange(0, len(open)-1).Draw(t, "entry")]
				n := rapid.Int64Range(1, 10*ConnectionBytes).Draw(t, "n")
				switch event {
				case 1:
					ended, ok := l.Reserve(e, n, now)
					checkEnded(ended)
					if after, _ := l.Held(); ok && after > max(testLimits.Bytes, before) {
						t.Fatalf("%d bytes are held of %d", after, testLimits.Bytes)
					}
				case 2:
					checkEnded(l.Charge(e, n, now))
				case 3:
					l.Release(e, n)
				case 4:
					l.Close(e)
				}
			}
			checkSums(t, l, open)
		}
		for _, e := range open {
			l.Close(e)
		}
		if bytes, connections := l.Held(); bytes != 0 || connections != 0 || len(l.parts) != 0 {
			t.Fatalf("%d bytes, %d connections and %d parts are left", bytes, connections, len(l.parts))
		}
	})
}

// checkSums compares the totals with a naive sum over all connections.
func checkSums(t *rapid.T, l *Ledger, open []*Entry) {
	var total use
	parts := map[string]use{}
	for _, e := range open {
		if e.ended {
			continue
		}
		total.bytes, total.connections = total.bytes+e.bytes, total.connections+1
		for _, key := range []string{e.address, e.listener} {
			u := parts[key]
			parts[key] = use{u.bytes + e.bytes, u.connections + 1}
		}
	}
	if l.total != total || total.connections > testLimits.Connections {
		t.Fatalf("the total is %v, the sum %v", l.total, total)
	}
	for key, u := range parts {
		if l.used(key) != u || u.connections > part20(key) {
			t.Fatalf("%s has %v, the sum is %v", key, l.used(key), u)
		}
	}
}

// part20 returns the connections that a part may have.
func part20(key string) int {
	if key[0] == 'a' {
		return 16
	}
	return 12
}

// Guards against an ordinary caller that gets no connection because a crowd on its own address and listener has all of them, and
// against the end of idle connections before those that stop short.
func TestNewConnectionTakesThePlaceOfOneThatStopsShort(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testLimits)
	var all []*connection
	for i := range 12 {
		c := &connection{Idle, begin}
		if i == 7 {
			c.state = Receiving
		}
		all = append(all, c)
		_, _, reason := l.Open(c, "a", "ingress", begin)
		is.Equal(reason, Admitted)
	}
	_, _, reason := l.Open(&connection{}, "a", "ingress", begin.Add(testLimits.Grace/2))
	is.Equal(reason, Connections)
	e, ended, _ := l.Open(&connection{}, "a", "ingress", begin.Add(testLimits.Grace))
	is.True(e != nil)
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Owner(), Owner(all[7]))
	other, _, _ := l.Open(&connection{}, "a", "admission", begin)
	is.True(other != nil) // the crowd on one listener leaves room on the others
}

// Guards against a tenant that takes the room of the others, and against a large request that is never served.
func TestTenantHasABoundedPart(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testLimits)
	is.True(l.ReserveTenant("large", testLimits.Bytes))
	is.True(!l.ReserveTenant("large", 1))
	is.True(l.ReserveTenant("small", 1))
	l.ReleaseTenant("large", testLimits.Bytes)
	is.True(l.ReserveTenant("large", 1))
}

// Guards against limits that ordinary callers of the smallest machines reach.
func TestDerivedLimits(t *testing.T) {
	is := is.New(t)
	bytes := BytesFor(184 << 20)
	is.Equal(bytes>>20, int64(69))
	is.Equal(ConnectionsFor(4100, 200, bytes), 1766)
	is.Equal(ConnectionsFor(64, 200, bytes), leastConnections)
	is.Equal(OutgoingFor(4100, 200, 1766), 1422)
	pace := Pace{Grace: 30 * time.Second, Rate: 2048}
	is.Equal(pace.Deadline(begin, 0), begin.Add(30*time.Second))
	is.Equal(pace.Deadline(begin, 20480), begin.Add(40*time.Second))
	is.Equal(HeadBytes(20, 1000), int64(0))
	is.True(HeadBytes(1000, 5000) > 100_000)
}
