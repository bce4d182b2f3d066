package quota

import (
	"math"
	"time"

	"sniperail.example/sniperail/internal/message"
)

const (
	// demandTime is the time over which a daemon averages its demand.
	demandTime = 2 * time.Second
	// prepaidTime is the time whose demand a daemon asks for beyond the requests that wait.
	prepaidTime = time.Second
	// aheadTime is the time whose demand must be left in the balance; with less, the daemon asks before requests have to wait.
	aheadTime = 100 * time.Millisecond
	// minAheadDemand is the least demand per second for which a daemon asks ahead. At a lower one the tokens would often expire.
	minAheadDemand = 5.0
	// minFallback and maxFallback bound how long a daemon uses its share of the tolerance after the owner did not answer, before it
	// asks again. The time doubles with each request without an answer: a single one is usually late, not lost.
	minFallback = 50 * time.Millisecond
	maxFallback = 400 * time.Millisecond
	// idleTime exceeds the lifetime of tokens and the time over which refused callers are scheduled.
	idleTime = time.Minute
)

// Kind is the result of Balance.Take.
type Kind uint8

// Kinds of results.
const (
	// Refused means that there is no token; RetryAfter says when there is room.
	Refused Kind = iota
	// Taken means that a token was taken.
	Taken
	// Waiting means that the request waits for the owner's reply. Its result comes from Balance.Answer.
	Waiting
)

// Result is the decision on one request.
type Result struct {
	Kind       Kind
	Token      Token
	RetryAfter time.Duration
}

// Token is what a request has taken.
type Token struct {
	at time.Duration
	// Fallback says that the token is of the daemon's share of the tolerance.
	Fallback bool
}

// Balance is the local balance of one tenant on one daemon. The caller keeps the waiting requests in order and sends the requests
// that Ask returns, of which at most one has no answer.
type Balance struct {
	tokens  int
	expires time.Duration
	// ceiling is the number of tokens that the owner counts in this balance until they expire.
	ceiling int
	// returned are tokens that were returned beyond the ceiling; returnedAt is when the first of them was taken.
	returned   int
	returnedAt time.Duration

	demand   float64
	demandAt time.Duration

	waiting  int
	asking   bool
	asked    int
	sentAt   time.Duration
	sequence uint64
	aheadAt  time.Duration

	// refuseUntil is the end of a denial. The next refused caller gets the time turn, which moves by spacing.
	refuseUntil, turn, spacing time.Duration
	refused                    int

	// failures is the number of requests in a row that the owner did not answer.
	failures      int
	fallbackUntil time.Duration
	share         int
	// served are the times of the latest requests that were served without the owner.
	served []time.Duration
}

// NewBalance returns an empty balance. The sequence must be higher than any that an earlier process of the daemon has used.
func NewBalance(sequence uint64) *Balance { return &Balance{sequence: sequence} }

// IsIdle reports whether the balance can be dropped: no request has come for so long that nothing in it counts any more.
func (b *Balance) IsIdle(now, window time.Duration) bool {
	return !b.asking && b.waiting == 0 && now-b.demandAt > max(idleTime, window)
}

// Take takes a token for a request.
func (b *Balance) Take(now time.Duration, l Limit) Result {
	b.recordDemand(now)
	if token, ok := b.takeToken(now); ok {
		return Result{Kind: Taken, Token: token}
	}
	switch {
	case now < b.fallbackUntil:
		return b.takeFallback(now, l)
	case now < b.refuseUntil:
		return b.refuse(now)
	}
	b.waiting++
	return Result{Kind: Waiting}
}

// Leave ends the wait of a request whose caller has gone.
func (b *Balance) Leave() { b.waiting = max(b.waiting-1, 0) }

// Ask returns the request to be sent to the owner, if one is due.
func (b *Balance) Ask(now time.Duration) (message.QuotaRequest, bool) {
	if b.asking || now < b.fallbackUntil || b.waiting == 0 && !b.isLow(now) {
		return message.QuotaRequest{}, false
	}
	b.asking, b.asked, b.sentAt = true, b.waiting, now
	b.sequence++
	q := message.QuotaRequest{Sequence: b.sequence, Waiting: b.waiting, Wanted: b.wanted(now), Held: b.held(now), Refused: b.refused}
	b.refused = 0
	return q, true
}

// Answer takes the owner's reply and returns the results of the requests that waited, first come first. The reply is nil if there
// was none in time; share is then the number of requests that the daemon may serve in a window without the owner. Requests that
// have no result wait for the next reply.
func (b *Balance) Answer(now time.Duration, l Limit, reply *message.QuotaReply, share int) []Result {
	b.asking = false
	var results []Result
	if reply == nil || reply.Code != message.Accepted || now-b.sentAt > maxReplyAge {
		b.fallbackUntil, b.share = now+min(minFallback<<min(b.failures, 10), maxFallback), share
		b.failures++
		for ; b.waiting > 0; b.waiting-- {
			results = append(results, b.takeFallback(now, l))
		}
		return results
	}
	b.failures = 0
	b.addGrant(now, reply)
	for b.waiting > 0 {
		token, ok := b.takeToken(now)
		if !ok {
			break
		}
		b.waiting--
		results = append(results, Result{Kind: Taken, Token: token})
	}
	// Tokens for requests that have gone are not kept: the owner counts them as spent.
	b.tokens = min(b.tokens, b.ceiling)
	if reply.Hold > 0 {
		b.refuseUntil, b.turn, b.spacing = now+min(reply.Hold, maxHold), now+reply.RetryAfter, reply.Spacing
		for ; b.waiting > 0; b.waiting-- {
			results = append(results, b.refuse(now))
		}
		// The owner has scheduled the requests that it knew of.
		b.refused = max(b.refused-(b.asked-reply.Granted), 0)
	}
	return results
}

// Return gives back the token of a request that was not executed. Of tokens that the owner counts as spent, only those of the
// latest requests are kept, so that what is executed in a window cannot add up.
func (b *Balance) Return(now time.Duration, t Token) {
	switch {
	case t.Fallback:
		for i, at := range b.served {
			if at == t.at {
				b.served = append(b.served[:i], b.served[i+1:]...)
				break
			}
		}
	case now < b.expires && b.tokens < b.ceiling:
		b.tokens++
	case now < t.at+ReturnTime:
		if b.expireReturned(now); b.returned == 0 || t.at < b.returnedAt {
			b.returnedAt = t.at
		}
		b.returned++
	}
}

func (b *Balance) expireReturned(now time.Duration) {
	if now >= b.returnedAt+ReturnTime {
		b.returned = 0
	}
}

// addGrant adds granted tokens to the balance. Those that it holds keep their value as long as the new ones, since the owner counts
// them anew.
func (b *Balance) addGrant(now time.Duration, reply *message.QuotaReply) {
	held := b.held(now)
	b.ceiling = held + max(reply.Prepaid, 0)
	b.tokens = b.ceiling + max(reply.Granted, 0)
	b.expires = b.sentAt + TokenTTL
	if reply.Prepaid == 0 {
		// The owner has few tokens. Asking ahead again at once would cost a message per request.
		b.aheadAt = now + maxHold
	}
}

func (b *Balance) held(now time.Duration) int {
	if now >= b.expires {
		b.tokens, b.ceiling = 0, 0
	}
	return min(b.tokens, b.ceiling)
}

func (b *Balance) takeToken(now time.Duration) (Token, bool) {
	b.expireReturned(now)
	if b.returned > 0 {
		b.returned--
		return Token{at: b.returnedAt}, true
	}
	if now >= b.expires || b.tokens == 0 {
		return Token{}, false
	}
	b.tokens--
	return Token{at: now}, true
}

func (b *Balance) takeFallback(now time.Duration, l Limit) Result {
	for len(b.served) > 0 && now-b.served[0] >= l.Window {
		b.served = b.served[1:]
	}
	if len(b.served) < b.share {
		b.served = append(b.served, now)
		return Result{Kind: Taken, Token: Token{at: now, Fallback: true}}
	}
	wait := b.fallbackUntil - now
	if len(b.served) > 0 {
		wait = max(wait, b.served[0]+l.Window-now)
	}
	return Result{Kind: Refused, RetryAfter: max(wait, briefHold)}
}

func (b *Balance) refuse(now time.Duration) Result {
	turn := max(b.turn, now+briefHold)
	b.turn = min(turn+b.spacing, now+maxRetryAfter)
	b.refused++
	return Result{Kind: Refused, RetryAfter: turn - now}
}

func (b *Balance) recordDemand(now time.Duration) {
	b.demand = b.demandNow(now) + 1/demandTime.Seconds()
	b.demandAt = now
}

// demandNow returns the requests per second, averaged over demandTime.
func (b *Balance) demandNow(now time.Duration) float64 {
	return b.demand * math.Exp(-(now-b.demandAt).Seconds()/demandTime.Seconds())
}

// wanted returns the tokens to ask for beyond those for the requests that wait.
func (b *Balance) wanted(now time.Duration) int {
	return max(0, int(math.Round(b.demandNow(now)*prepaidTime.Seconds()))-b.held(now))
}

// isLow reports whether the balance is low enough to ask for more before requests have to wait.
func (b *Balance) isLow(now time.Duration) bool {
	demand := b.demandNow(now)
	return demand >= minAheadDemand && now >= b.aheadAt && now >= b.refuseUntil && now < b.expires &&
		float64(b.tokens) <= demand*aheadTime.Seconds()
}
