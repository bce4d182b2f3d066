// Package quota decides how the quota of a tenant is kept over all daemons. Each tenant has one owner, which keeps a token
// bucket (Bucket) and grants tokens to the other daemons; each of these keeps a local balance (Balance). All times are read from
// a clock that also counts the suspension of the machine.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sniperail.example/sniperail/internal/model"
)

const (
	// TokenTTL is the lifetime of a granted token, from the time at which the request for it was sent.
	TokenTTL = 3 * time.Second
	// AskTimeout is how long a daemon waits for the owner's reply.
	AskTimeout = 100 * time.Millisecond
	// maxReplyAge is the age of a request at which its reply is not taken any more: the daemon was busy or suspended, and the owner
	// counts the tokens for waiting requests as spent.
	maxReplyAge = 2 * AskTimeout
	// ReturnTime is how long after it was taken a token that the owner counts as spent may be returned and taken again.
	ReturnTime = 150 * time.Millisecond
	// maxHold bounds the time for which a daemon refuses requests after a denial without asking again, and briefHold is that
	// time until a tenant has exceeded its quota for exceedingTime: a brief peak of a tenant within its quota ends sooner.
	maxHold       = 250 * time.Millisecond
	briefHold     = 50 * time.Millisecond
	exceedingTime = time.Second
	// maturity is the time after which no token of an earlier owner is valid. It includes the time in which daemons may
	// disagree on the owner.
	maturity = TokenTTL + 500*time.Millisecond
	// maxRetryAfter bounds the schedule of refused callers, not all of which come back.
	maxRetryAfter = 30 * time.Second
)

// Settings are the figures of the operator's platform by which quotas are judged.
type Settings struct {
	Window           time.Duration
	Tolerance, Slack float64
}

// Limit is the quota of a tenant. In any window at most (Rate*Window + Burst) * (1+Tolerance) + Slack requests may be executed.
type Limit struct {
	Rate, Burst float64
	Settings
}

// NewLimit returns the limit of a tenant.
func NewLimit(t *model.Tenant, s Settings) Limit { return Limit{t.RatePerSecond, t.Burst, s} }

// Allowed returns the requests that may be executed in a window.
func (l Limit) Allowed() float64 {
	return (l.Rate*l.Window.Seconds()+l.Burst)*(1+l.Tolerance) + l.Slack
}

// margin is what may be executed in a window beyond the rate, apart from the part of the tolerance that belongs to daemons that
// cannot reach the owner.
func (l Limit) margin() float64 { return l.Burst*(1+l.Tolerance) + l.Slack }

// late is what may be executed in a window with tokens that were counted as spent before it began.
func (l Limit) late() float64 { return l.Rate * (maxReplyAge + ReturnTime).Seconds() }

// startCapacity is the capacity of an owner's bucket as long as tokens of an earlier owner may be valid.
func (l Limit) startCapacity() float64 {
	return max(1, (l.Burst*l.Tolerance+l.Slack)/4)
}

// capacity bounds the tokens in the owner's bucket and in all local balances together.
func (l Limit) capacity() float64 { return max(1, l.margin()-l.startCapacity()-l.late()) }

// fallbackTokens returns the requests that all daemons without a reply of the owner may execute together in a window: the tolerance of
// the rate, less what the least capacity exceeds the margin by.
func (l Limit) fallbackTokens() int {
	overrun := max(0, l.capacity()+l.startCapacity()+l.late()-l.margin())
	return int(max(0, l.Tolerance*l.Rate*l.Window.Seconds()-overrun))
}

// FallbackShare returns the requests that one daemon may execute in a window while the owner does not answer. position is that of
// the daemon in the order of names among all daemons. If there are fewer requests than daemons, some daemons have none; which ones
// depends on the tenant.
func (l Limit) FallbackShare(tenant model.TenantName, position, daemons int) int {
	total := l.fallbackTokens()
	share := total / daemons
	turn := (uint64(position) + xxhash.Sum64String(string(tenant))) % uint64(daemons)
	if turn < uint64(total%daemons) {
		share++
	}
	return share
}

// Weight is the rendezvous hash of a tenant and a daemon. The daemon with the highest weight owns the tenant.
func Weight(tenant model.TenantName, daemon model.DaemonID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(tenant)) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(daemon))
	return d.Sum64()
}

// BorrowerID returns the number that identifies a daemon to the owners of tenants.
func BorrowerID(daemon model.DaemonID) uint64 { return xxhash.Sum64String(string(daemon)) }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
