package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/message"
)

var calm = quota.Limit{Rate: 100, Burst: 100, Settings: quota.Settings{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}}

// grant asks for a token at a time and gives the reply at another one.
func grant(b *quota.Balance, asked, answered time.Duration, granted, prepaid int) []quota.Result {
	b.Take(asked, calm)
	b.Ask(asked)
	return b.Answer(answered, calm, &message.QuotaReply{Code: message.Accepted, Granted: granted, Prepaid: prepaid}, 0)
}

// Guards against tokens that are used later than the owner counts them: after a suspension, from a late reply, or once more after
// they were returned late.
func TestTokensExpire(t *testing.T) {
	const at = time.Hour
	t.Run("balance", func(t *testing.T) {
		is := is.New(t)
		b := quota.NewBalance(1)
		is.Equal(grant(b, at, at+time.Millisecond, 1, 5)[0].Kind, quota.Taken)
		is.Equal(b.Take(at+quota.TokenTTL-1, calm).Kind, quota.Taken)
		is.Equal(b.Take(at+quota.TokenTTL, calm).Kind, quota.Waiting)
	})
	t.Run("late reply", func(t *testing.T) {
		is := is.New(t)
		b := quota.NewBalance(1)
		is.Equal(grant(b, at, at+time.Second, 1, 5)[0].Kind, quota.Refused)
		is.Equal(b.Take(at+time.Second, calm).Kind, quota.Refused)
	})
	t.Run("returned", func(t *testing.T) {
		is := is.New(t)
		b := quota.NewBalance(1)
		token := grant(b, at, at, 1, 0)[0].Token
		b.Return(at+time.Millisecond, token)
		again := b.Take(at+2*time.Millisecond, calm)
		is.Equal(again.Kind, quota.Taken)
		b.Return(at+quota.ReturnTime, again.Token) // its time counts from when it was taken first
		is.Equal(b.Take(at+quota.ReturnTime, calm).Kind, quota.Waiting)
	})
}

// Guards against refused callers that are all told the same time, and then exceed the rate together.
func TestRefusedCallersGetLaterTimes(t *testing.T) {
	is := is.New(t)
	bucket, now := quota.NewBucket(0), time.Hour
	var turns []time.Duration
	for i := range 4 {
		b := quota.NewBalance(uint64(i))
		for range 120 {
			b.Take(now, calm)
		}
		q, _ := b.Ask(now)
		q.Borrower = uint64(i)
		reply := bucket.Grant(now, calm, &q)
		for _, r := range b.Answer(now, calm, &reply, 0) {
			if r.Kind == quota.Refused {
				turns = append(turns, r.RetryAfter)
			}
		}
	}
	is.True(len(turns) > 300)
	for i := 1; i < len(turns); i++ {
		is.True(turns[i]-turns[i-1] >= 9*time.Millisecond) // 100 per second, rounded
	}
}

// Guards against a delayed request that replaces what the owner knows of a daemon's balance by an older figure.
func TestLateRequestGetsNothing(t *testing.T) {
	is := is.New(t)
	bucket, now := quota.NewBucket(0), time.Hour
	later := bucket.Grant(now, calm, &message.QuotaRequest{Sequence: 2, Waiting: 1, Wanted: 40})
	is.Equal(later, message.QuotaReply{Code: message.Accepted, Granted: 1, Prepaid: 40})
	is.Equal(bucket.Grant(now, calm, &message.QuotaRequest{Sequence: 1, Waiting: 1}).Code, message.Stale)
}

// Guards against balances of removed tenants that are kept for ever, and against one that is dropped while it counts.
func TestBalanceIsIdleOnceNothingInItCounts(t *testing.T) {
	is := is.New(t)
	b, l := quota.NewBalance(1), quota.Limit{Rate: 10, Settings: quota.Settings{Window: 5 * time.Second}}
	b.Take(time.Second, l)
	b.Ask(time.Second)
	is.True(!b.IsIdle(time.Hour, l.Window)) // a request waits
	b.Answer(time.Second, l, nil, 1)
	is.True(!b.IsIdle(31*time.Second, l.Window))
	is.True(b.IsIdle(62*time.Second, l.Window))
	is.True(!b.IsIdle(62*time.Second, time.Hour))
}
