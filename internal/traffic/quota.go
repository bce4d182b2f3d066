package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// AskQuota asks the owner of a tenant for tokens, see control.Loop.AskQuota.
type AskQuota func(ctx context.Context, q message.QuotaRequest) (reply *message.QuotaReply, share int, ok bool)

// QuotaOptions configures how the quotas of tenants are kept. Without Ask, no request is limited.
type QuotaOptions struct {
	Ask      AskQuota
	Settings quota.Settings
	// Uptime is a clock that also counts the suspension of the machine.
	Uptime func() time.Duration
}

// askTimeout bounds one request to the control loop. The loop answers after quota.AskTimeout; it takes longer only if it is busy.
const askTimeout = 2 * quota.AskTimeout

// tenantQuotas holds the local balances of the tenants with a quota.
type tenantQuotas struct {
	options QuotaOptions
	metrics *Metrics

	mu       sync.RWMutex
	balances map[model.TenantName]*tenantBalance
}

// tenantBalance is the local balance of one tenant, with the requests that wait for tokens.
type tenantBalance struct {
	name model.TenantName

	mu      sync.Mutex
	balance *quota.Balance
	waiting []chan quota.Result
	// share is what the control loop last said that this daemon may execute without the owner.
	share int
	// dropped says that the balance is no longer that of the tenant.
	dropped bool
}

// quotaToken is the token of a request; the zero value if it needs none.
type quotaToken struct {
	balance *tenantBalance
	token   quota.Token
}

func newTenantQuotas(options QuotaOptions, metrics *Metrics) *tenantQuotas {
	return &tenantQuotas{options: options, metrics: metrics, balances: map[model.TenantName]*tenantBalance{}}
}

// take takes a token for a request of a tenant. It waits for the tenant's owner if the local balance is empty.
func (q *tenantQuotas) take(ctx context.Context, tenant *model.Tenant) (quotaToken, *refusal) {
	if tenant == nil || !tenant.HasQuota() || q.options.Ask == nil {
		return quotaToken{}, nil
	}
	b, limit := q.balance(tenant.Name), quota.NewLimit(tenant, q.options.Settings)
	b.mu.Lock()
	for b.dropped {
		b.mu.Unlock()
		b = q.balance(tenant.Name)
		b.mu.Lock()
	}
	result := b.balance.Take(q.options.Uptime(), limit)
	var answer chan quota.Result
	if result.Kind == quota.Waiting {
		answer = make(chan quota.Result, 1)
		b.waiting = append(b.waiting, answer)
	}
	q.askIfDue(b, limit)
	b.mu.Unlock()
	if answer != nil {
		var ok bool
		if result, ok = q.await(ctx, b, answer); !ok {
			return quotaToken{}, inDoubt(http.StatusBadGateway, reasonCallerGone, "the caller is gone")
		}
	}
	return q.conclude(b, result)
}

// await waits for the result of a request. It returns false if the caller has gone.
func (q *tenantQuotas) await(ctx context.Context, b *tenantBalance, answer chan quota.Result) (quota.Result, bool) {
	select {
	case result := <-answer:
		return result, true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.waiting {
		if b.waiting[i] == answer {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.balance.Leave()
			return quota.Result{}, false
		}
	}
	if result := <-answer; result.Kind == quota.Taken {
		b.balance.Return(q.options.Uptime(), result.Token)
	}
	return quota.Result{}, false
}

func (q *tenantQuotas) conclude(b *tenantBalance, result quota.Result) (quotaToken, *refusal) {
	if result.Kind == quota.Taken {
		if result.Token.Fallback {
			q.metrics.quotaTokens.Add(context.Background(), "fallback", 1)
		}
		return quotaToken{b, result.Token}, nil
	}
	q.metrics.quotaTokens.Add(context.Background(), "denied", 1)
	return quotaToken{}, notExecuted(http.StatusTooManyRequests, reasonQuotaExceeded, "the quota of the tenant is exceeded").
		withRetryAfter(result.RetryAfter)
}

// askIfDue sends a request to the tenant's owner if one is due. The caller holds the lock of the balance.
func (q *tenantQuotas) askIfDue(b *tenantBalance, limit quota.Limit) {
	request, due := b.balance.Ask(q.options.Uptime())
	if !due {
		return
	}
	request.Tenant = b.name
	go func() {
		// The answer serves all requests that wait, whichever of them leaves.
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		reply, share, ok := q.options.Ask(ctx, request)
		if reply != nil && reply.Granted+reply.Prepaid > 0 {
			q.metrics.quotaTokens.Add(ctx, "granted", int64(reply.Granted+reply.Prepaid))
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if ok {
			b.share = share
		}
		for _, result := range b.balance.Answer(q.options.Uptime(), limit, reply, b.share) {
			b.waiting[0] <- result
			b.waiting = b.waiting[1:]
		}
		q.askIfDue(b, limit)
	}()
}

func (q *tenantQuotas) balance(name model.TenantName) *tenantBalance {
	q.mu.RLock()
	b := q.balances[name]
	q.mu.RUnlock()
	if b != nil {
		return b
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if b = q.balances[name]; b == nil {
		q.dropIdle()
		// The time of day is higher than the sequences of an earlier process. If it was set back, the owner forgets them in seconds.
		b = &tenantBalance{name: name, balance: quota.NewBalance(uint64(time.Now().UnixNano()))}
		q.balances[name] = b
	}
	return b
}

// dropIdle drops the balances without recent requests: tenants are removed from the configuration. The caller holds the lock.
func (q *tenantQuotas) dropIdle() {
	now := q.options.Uptime()
	for name, b := range q.balances {
		b.mu.Lock()
		if b.dropped = b.balance.IsIdle(now, q.options.Settings.Window); b.dropped {
			delete(q.balances, name)
		}
		b.mu.Unlock()
	}
}

// giveBack returns the token of a request that was refused as not executed.
func (q *tenantQuotas) giveBack(t quotaToken, refused *refusal) {
	if t.balance == nil || refused == nil || refused.executed != retry.ExecutedNo {
		return
	}
	t.balance.mu.Lock()
	defer t.balance.mu.Unlock()
	t.balance.balance.Return(q.options.Uptime(), t.token)
}
