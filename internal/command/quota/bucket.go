package quota

import (
	"math"
	"time"

	"sniperail.example/sniperail/internal/message"
)

// Bucket is the owner's side of one tenant's quota. The tokens in the bucket and those that it counts in local balances never
// exceed the capacity of the limit together, and both grow by no more than the rate.
type Bucket struct {
	level float64
	// at is the time for which level holds, and since the time from which this daemon owns the tenant.
	at, since time.Duration
	// balances holds the tokens that may be in the balances of other daemons and total is their sum. expiries lists them in
	// the order of their expiry.
	balances map[uint64]balanceRecord
	total    int
	expiries []expiry
	// nextTurn is when the next refused caller may come back.
	nextTurn time.Duration
	// exceededSince and exceededAt are the first and last time of denials that followed each other closely.
	exceededSince, exceededAt time.Duration
	exceeding                 bool
	// granted and refused are the tokens granted and the requests refused for the quota, decaying over exceedingTime.
	granted, refused float64
}

type balanceRecord struct {
	tokens   int
	sequence uint64
}

type expiry struct {
	at       time.Duration
	borrower uint64
	sequence uint64
}

// NewBucket returns a bucket that was empty at the given time.
func NewBucket(since time.Duration) *Bucket {
	return &Bucket{at: since, since: since, balances: map[uint64]balanceRecord{}}
}

// Grant answers a daemon's request for tokens. Requests that arrive after a later one of the same daemon get nothing.
func (b *Bucket) Grant(now time.Duration, l Limit, q *message.QuotaRequest) message.QuotaReply {
	b.advance(now, l)
	held, refused := min(max(q.Held, 0), maxCount), float64(min(max(q.Refused, 0), maxCount))
	if known, ok := b.balances[q.Borrower]; ok && q.Sequence <= known.sequence {
		return message.QuotaReply{Code: message.Stale}
	}
	b.record(now, q, held)
	b.clip(now, l)
	b.refused += refused
	if b.nextTurn > now {
		b.nextTurn += seconds(refused / l.Rate)
	}
	reply := message.QuotaReply{Code: message.Accepted}
	reply.Granted = min(max(q.Waiting, 0), int(b.level))
	b.level -= float64(reply.Granted)
	if reply.Granted < q.Waiting {
		b.deny(now, l, q.Waiting-reply.Granted, &reply)
		return reply
	}
	if b.isMature(now) {
		// Half of the level stays for the other daemons.
		reply.Prepaid = b.prepaid(l, q.Wanted)
		b.level -= float64(reply.Prepaid)
		b.record(now, q, held+reply.Prepaid)
	}
	b.granted += float64(reply.Granted + reply.Prepaid)
	if b.exceeding && refused > 0 {
		b.exceededAt = now
	}
	if b.isContested(now) && b.isMature(now) && b.level < max(1, l.capacity()*scarceLevel) {
		// Once the tokens are used up, the daemon would only ask to be denied.
		b.schedule(now, l, 0, &reply)
	}
	return reply
}

// maxCount bounds the counts of a request, whose sums must not overflow.
const maxCount = 1 << 30

// contestedPart is the least part of refused requests, compared with those that got a token, at which a tenant counts as exceeding
// its quota for a while.
const contestedPart = 0.25

// scarceLevel is the part of the capacity below which a daemon that has got tokens need not ask again at once while the tenant
// exceeds its quota.
const scarceLevel = 0.05

// minSingleLevel is the part of the capacity below which a daemon whose demand is about one request per second gets no token ahead:
// many of these tokens expire, and the other daemons lack them.
const minSingleLevel = 0.4

// prepaid returns the tokens that are granted beyond the requests that wait. The rest stays for the other daemons.
func (b *Bucket) prepaid(l Limit, wanted int) int {
	if wanted == 1 && b.level < l.capacity()*minSingleLevel {
		return 0
	}
	return min(max(wanted, 0), int(b.level/2))
}

// isContested reports whether the tenant has exceeded its quota for a while, and by more than what a tenant within its quota may
// have refused now and then.
func (b *Bucket) isContested(now time.Duration) bool {
	return b.exceeding && now-b.exceededAt <= exceedingTime && now-b.exceededSince >= exceedingTime &&
		b.refused > contestedPart*b.granted
}

// Exceeding reports whether requests of the tenant have been denied within a window before the given time.
func (b *Bucket) Exceeding(now, window time.Duration) bool {
	b.exceeding = b.exceeding && now-b.exceededAt < window
	return b.exceeding
}

func (b *Bucket) isMature(now time.Duration) bool { return now-b.since >= maturity }

// advance adds the tokens that have accrued, up to the capacity.
func (b *Bucket) advance(now time.Duration, l Limit) {
	if now > b.at {
		decay := math.Exp(-(now - b.at).Seconds() / exceedingTime.Seconds())
		b.granted, b.refused = b.granted*decay, b.refused*decay
		b.level += l.Rate * (now - b.at).Seconds()
		b.at = now
	}
	b.clip(now, l)
	done := 0
	for done < len(b.expiries) && b.expiries[done].at <= now {
		e := b.expiries[done]
		if r := b.balances[e.borrower]; r.sequence == e.sequence {
			b.total -= r.tokens
			delete(b.balances, e.borrower)
		}
		done++
	}
	b.expiries = b.expiries[done:]
}

// clip bounds the level. As long as tokens of an earlier owner may be valid, the capacity without startCapacity is left to them.
func (b *Bucket) clip(now time.Duration, l Limit) {
	room := l.startCapacity()
	if b.isMature(now) {
		room = l.capacity() - float64(b.total)
	}
	b.level = max(0, min(b.level, room))
}

// record replaces what is known of a daemon's balance.
func (b *Bucket) record(now time.Duration, q *message.QuotaRequest, tokens int) {
	known, ok := b.balances[q.Borrower]
	b.total += tokens - known.tokens
	b.balances[q.Borrower] = balanceRecord{tokens, q.Sequence}
	if !ok || known.sequence != q.Sequence {
		b.expiries = append(b.expiries, expiry{now + TokenTTL, q.Borrower, q.Sequence})
	}
}

// deny turns callers away. They are scheduled one after the other at the rate.
func (b *Bucket) deny(now time.Duration, l Limit, callers int, reply *message.QuotaReply) {
	if !b.exceeding || now-b.exceededAt > exceedingTime {
		b.exceededSince = now
	}
	b.exceeding, b.exceededAt = true, now
	b.granted, b.refused = b.granted+float64(reply.Granted), b.refused+float64(callers)
	b.schedule(now, l, callers, reply)
}

// schedule says in a reply when refused callers may come back, and keeps the times of those that are known.
func (b *Bucket) schedule(now time.Duration, l Limit, callers int, reply *message.QuotaReply) {
	wait := seconds((1 - min(b.level, 1)) / l.Rate)
	reply.Hold = briefHold
	if b.isContested(now) {
		reply.Hold = maxHold
	}
	reply.Hold = min(max(wait, reply.Hold), maxHold)
	turn := min(max(b.nextTurn, now+max(wait, reply.Hold)), now+maxRetryAfter)
	reply.RetryAfter, reply.Spacing = turn-now, seconds(1/l.Rate)
	b.nextTurn = turn + seconds(float64(callers)/l.Rate)
}
