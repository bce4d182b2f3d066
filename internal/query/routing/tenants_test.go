package routing_test

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// Guards against a request that passes without a valid key, and against one that is refused although its route is public, its key
// is valid or the configuration has no tenants.
func TestRequestsNeedTheKeyOfATenant(t *testing.T) {
	services := []model.Service{{Name: service}}
	routes := []model.Route{{Name: "closed", Service: service, PathPrefix: "/closed/"}, {Name: "open", Service: service, PathPrefix: "/open/", Public: true}}
	tenants := []model.Tenant{
		{Name: "a", Keys: []model.KeyDigest{model.DigestKey("k1"), model.DigestKey("k2")}},
		{Name: "b", Keys: []model.KeyDigest{model.DigestKey("k3")}},
	}
	with := routing.NewTable(&model.View{Configuration: &model.Configuration{Services: services, Routes: routes, Tenants: tenants}})
	without := routing.NewTable(&model.View{Configuration: &model.Configuration{Services: services, Routes: routes}})
	for _, c := range []struct {
		table         *routing.Table
		path          string
		authorization []string
		tenant        model.TenantName
		ok            bool
	}{
		{with, "/closed/x", []string{"Token k1"}, "a", true},
		{with, "/closed/x", []string{"token   k3 "}, "b", true},
		{with, "/closed/x", nil, "", false},
		{with, "/closed/x", []string{"Token k4"}, "", false},
		{with, "/closed/x", []string{"Token "}, "", false},
		{with, "/closed/x", []string{"Bearer k1"}, "", false},
		{with, "/closed/x", []string{"Token k1", "Token k3"}, "", false},
		{with, "/open/x", nil, "", true},
		{with, "/open/x", []string{"Token k4"}, "", true},
		{with, "/open/x", []string{"Token k2"}, "a", true},
		{without, "/closed/x", nil, "", true},
		{without, "/closed/x", []string{"Token k1"}, "", true},
	} {
		is := is.New(t)
		route, reason := c.table.Match("", "GET", c.path)
		is.Equal(reason, routing.Found)
		tenant, ok := c.table.Authenticate(route, c.authorization)
		is.Equal(ok, c.ok)
		if tenant == nil {
			is.Equal(c.tenant, model.TenantName(""))
			continue
		}
		is.Equal(tenant.Name, c.tenant)
	}
}

// Guards against a key that stays valid because the compiled tenants of the previous configuration are kept.
func TestRemovedKeysAreForgotten(t *testing.T) {
	is := is.New(t)
	routes := []model.Route{{Name: "closed", Service: service, PathPrefix: "/"}}
	view := func(keys ...string) *model.View {
		tenant := model.Tenant{Name: "a"}
		for _, key := range keys {
			tenant.Keys = append(tenant.Keys, model.DigestKey(key))
		}
		return &model.View{Configuration: &model.Configuration{
			Services: []model.Service{{Name: service}}, Routes: routes, Tenants: []model.Tenant{tenant},
		}}
	}
	table := routing.NewTable(view("k1", "k2"))
	table = routing.NextTable(table, view("k2"))
	route, _ := table.Match("", "GET", "/x")
	_, ok := table.Authenticate(route, []string{"Token k1"})
	is.True(!ok)
	_, ok = table.Authenticate(route, []string{"Token k2"})
	is.True(ok)
}
