package routing

import (
	"strings"

	"sniperail.example/sniperail/internal/model"
)

// tenantIndex maps the digests of API keys to the tenants that hold them.
type tenantIndex map[model.KeyDigest]*model.Tenant

// keyScheme is the scheme of the Authorization header that carries an API key.
const keyScheme = "Token"

// RequiresKeys reports whether requests need an API key, except on public routes.
func (t *Table) RequiresKeys() bool { return t.tenants != nil }

// Authenticate returns the tenant of a request on a route from the values of its Authorization header. The tenant is nil if the
// configuration has no tenants, or if a request on a public route has no valid key. It reports false if the route needs a valid
// key and the request has none.
func (t *Table) Authenticate(r *Route, authorization []string) (tenant *model.Tenant, ok bool) {
	if !t.RequiresKeys() {
		return nil, true
	}
	if key, found := parseKey(authorization); found {
		if tenant = t.tenants[model.DigestKey(key)]; tenant != nil {
			return tenant, true
		}
	}
	return nil, r.Public
}

// parseKey returns the API key of an Authorization header. Several headers name no key, because the target could read another one
// than this daemon.
func parseKey(authorization []string) (key string, ok bool) {
	if len(authorization) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(strings.TrimSpace(authorization[0]), " ")
	key = strings.TrimSpace(key)
	return key, ok && key != "" && strings.EqualFold(scheme, keyScheme)
}

// compileTenants returns the index of the tenants' keys, or nil if there are no tenants.
func compileTenants(tenants []model.Tenant) tenantIndex {
	if len(tenants) == 0 {
		return nil
	}
	index := make(tenantIndex, len(tenants))
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			index[key] = &tenants[i]
		}
	}
	return index
}

// sameTenants reports whether two configurations share one slice of tenants. Configurations are immutable, so tenants at the same
// address are equal.
func sameTenants(a, b *model.Configuration) bool {
	return len(a.Tenants) == len(b.Tenants) && (len(a.Tenants) == 0 || &a.Tenants[0] == &b.Tenants[0])
}
