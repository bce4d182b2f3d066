package traffic_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/traffic"
)

// setTenants gives the chain tenants "a" and "b" with the keys "key-a" and "key-b". Only the route below /named/ is public.
func (c *chain) setTenants() {
	configuration := c.table.View.Configuration
	configuration.Tenants = []model.Tenant{
		{Name: "a", Keys: []model.KeyDigest{model.DigestKey("key-a")}, RatePerSecond: 5},
		{Name: "b", Keys: []model.KeyDigest{model.DigestKey("key-b")}},
	}
	configuration.Routes[2].Public = true
	c.table = routing.NewTable(c.table.View)
}

// Guards against an API key or a forged tenant that reaches a target, against a wrong tenant, and against a request without a
// valid key that is executed.
func TestTargetsSeeTheTenantAndNoKey(t *testing.T) {
	for _, c := range []struct {
		name, path, authorization string
		status                    int
		tenant                    string
	}{
		{"key of a", "/safe/x", "Token key-a", http.StatusOK, "a"},
		{"key of b", "/once/x", "Token key-b", http.StatusOK, "b"},
		{"unknown key", "/safe/x", "Token key-c", http.StatusUnauthorized, ""},
		{"no key", "/safe/x", "", http.StatusUnauthorized, ""},
		{"public route", "/named/x", "", http.StatusOK, ""},
		{"public route with a key", "/named/x", "Token key-b", http.StatusOK, "b"},
		{"public route with an unknown key", "/named/x", "Token key-c", http.StatusOK, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
			ch := startChain(t, target)
			ch.setTenants()
			r, _ := http.NewRequestWithContext(t.Context(), "GET", ch.url+c.path, nil)
			if c.authorization != "" {
				r.Header.Set("Authorization", c.authorization)
			}
			r.Header.Set("X-Tenant", "forged")
			r.Header.Set(traffic.HeaderTenant, "forged 1")
			response, err := http.DefaultTransport.RoundTrip(r)
			is.NoErr(err)
			_ = response.Body.Close()
			is.Equal(response.StatusCode, c.status)
			if c.status != http.StatusOK {
				is.Equal(target.received.Load(), int64(0))
				return
			}
			h := target.headers[0]
			is.Equal(h.Get("Authorization"), "")
			is.Equal(h.Get("X-Tenant"), c.tenant)
			is.Equal(h.Get(traffic.HeaderTenant), "")
		})
	}
}

// Guards against an Authorization header that is removed where the configuration has no tenants, and against a forged tenant there, for
// example after the last tenant was removed.
func TestAuthorizationPassesWithoutTenants(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	ch := startChain(t, target)
	r, _ := http.NewRequestWithContext(t.Context(), "GET", ch.url+"/safe/x", nil)
	r.Header.Set("Authorization", "Bearer own")
	r.Header.Set("X-Tenant", "forged")
	response, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(target.headers[0].Get("Authorization"), "Bearer own")
	is.Equal(target.headers[0].Get("X-Tenant"), "")
}

// Guards against an API key that is accepted although it may have been revoked, also on a public route, and against public routes
// and deployments without tenants that are not served meanwhile.
func TestUnconfirmedConfigurationAcceptsNoKeys(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	ch := startChain(t, target)
	ch.confirmed = func() bool { return false }
	status, _ := ch.callAs(t, "key-a", "/safe/x")
	is.Equal(status, http.StatusOK) // no tenants
	ch.setTenants()
	status, header := ch.callAs(t, "key-a", "/safe/x")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(traffic.HeaderRefusal), "configuration-unconfirmed")
	is.Equal(header.Get(traffic.HeaderExecuted), "no")
	is.Equal(header.Get("Retry-After"), "1.000")
	is.Equal(target.received.Load(), int64(1))
	status, _ = ch.callAs(t, "key-b", "/named/x")
	is.Equal(status, http.StatusOK)
	is.Equal(target.headers[1].Get("X-Tenant"), "")
	is.Equal(target.headers[1].Get("Authorization"), "")
	is.True(strings.Contains(ch.scrape(t), `reason="configuration-unconfirmed"`))
}

// Guards against a table that is read before the confirmation: a key that was removed by the configuration that has been confirmed
// in between would be accepted.
func TestConfirmationIsReadBeforeTheTable(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	ch := startChain(t, target)
	ch.setTenants()
	ch.confirmed = func() bool {
		ch.table.View.Configuration.Tenants = ch.table.View.Configuration.Tenants[1:]
		ch.table = routing.NewTable(ch.table.View)
		return true
	}
	status, _ := ch.callAs(t, "key-a", "/safe/x")
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(target.received.Load(), int64(0))
}
