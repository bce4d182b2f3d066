package traffic

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// HeaderTenant tells the target's daemon the tenant of a request, see tenantHeader. It is missing if the request has none, and is
// removed before the request leaves the mesh.
const HeaderTenant = "Sniperail-Tenant"

// headerAuthorization carries the API key of a caller.
const headerAuthorization = "Authorization"

// unconfirmedRetryAfter covers the time from one freshness check of the store to the next.
const unconfirmedRetryAfter = time.Second

// tenantHeader is the content of HeaderTenant.
type tenantHeader struct {
	name model.TenantName
	// weight is the tenant's weight in fair queueing.
	weight float64
}

// String joins the fields with a space. The name is escaped, since the operator chooses it.
func (t tenantHeader) String() string {
	return url.QueryEscape(string(t.name)) + " " + strconv.FormatFloat(t.weight, 'g', -1, 64)
}

// parseTenantHeader parses HeaderTenant. It reports false if the request has no tenant.
func parseTenantHeader(h http.Header) (tenantHeader, bool) {
	escaped, number, ok := strings.Cut(h.Get(HeaderTenant), " ")
	name, err := url.QueryUnescape(escaped)
	weight, weightErr := strconv.ParseFloat(number, 64)
	if !ok || err != nil || weightErr != nil || name == "" || !(weight > 0) {
		return tenantHeader{}, false
	}
	return tenantHeader{model.TenantName(name), weight}, true
}

// admissionCall describes the call to the queue beside the target.
func (c *inboundCall) admissionCall() admission.Call {
	call := admission.Call{
		Kind: string(c.dispatch.route), Priority: c.dispatch.priority,
		Objective: c.started.Add(c.dispatch.objective), Deadline: c.deadline, MaxWait: c.dispatch.maxWait,
	}
	if tenant, ok := parseTenantHeader(c.request.Header); ok {
		call.Tenant, call.Weight = string(tenant.name), tenant.weight
	}
	return call
}

// authenticate returns the tenant of a request, and removes the API key and the tenant that the caller names from its header: the
// target must see neither. The Authorization header stays while the configuration has no tenants. While the configuration is not confirmed, no
// key is valid: it may have been revoked. Public routes are then served without a tenant.
func (o *Outbound) authenticate(
	r *http.Request, table *routing.Table, route *routing.Route, confirmed bool,
) (*model.Tenant, *refusal) {
	if name := o.options.Headers.TenantID; name != "" {
		r.Header.Del(name)
	}
	if !table.RequiresKeys() {
		return nil, nil
	}
	tenant, ok := table.Authenticate(route, r.Header[headerAuthorization])
	r.Header.Del(headerAuthorization)
	if !confirmed {
		if route.Public {
			return nil, nil
		}
		return nil, notExecuted(http.StatusServiceUnavailable, reasonUnconfirmed, "this daemon may not know the latest API keys").
			withRetryAfter(unconfirmedRetryAfter)
	}
	if !ok {
		return nil, notExecuted(http.StatusUnauthorized, reasonKeyUnknown, "the route needs a valid API key")
	}
	return tenant, nil
}
