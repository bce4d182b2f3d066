package model

import (
	"fmt"
	"strings"
)

// Validate returns every reason why a configuration must be refused. If it returns none, all references resolve and
// the shares of each service sum to FullShare.
func (c *Configuration) Validate() []Problem {
	var v validation
	v.checkServices(c)
	v.checkRoutes(c)
	v.checkMoves(c)
	return v.problems
}

type validation struct{ problems []Problem }

func (v *validation) add(field, format string, args ...any) {
	v.problems = append(v.problems, Problem{Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (v *validation) checkServices(c *Configuration) {
	seen := map[ServiceName]bool{}
	for i := range c.Services {
		s := &c.Services[i]
		field := fmt.Sprintf("services[%d]", i)
		if s.Name == "" {
			v.add(field+".name", "a service needs a name")
		}
		if seen[s.Name] {
			v.add(field+".name", "service %q is declared twice", s.Name)
		}
		seen[s.Name] = true
		v.checkVersions(c, s, field+".versions")
		for j, d := range s.DependsOn {
			if c.Service(d) == nil {
				v.add(fmt.Sprintf("%s.dependsOn[%d]", field, j), "service %q does not exist", d)
			}
		}
	}
}

func (v *validation) checkVersions(c *Configuration, s *Service, field string) {
	var sum Share
	seen := map[VersionName]bool{}
	for i, share := range s.Versions {
		at := fmt.Sprintf("%s[%d]", field, i)
		if share.Version == "" {
			v.add(at+".version", "a version needs a name")
		}
		if seen[share.Version] {
			v.add(at+".version", "version %q is listed twice", share.Version)
		}
		seen[share.Version] = true
		if share.Share < 0 || share.Share > FullShare {
			v.add(at+".share", "share %s is not between 0%% and 100%%", share.Share)
		}
		if share.Share > 0 && c.IsWithdrawn(VersionRef{Service: s.Name, Version: share.Version}) {
			v.add(at+".share", "version %q of service %q is withdrawn", share.Version, s.Name)
		}
		sum += share.Share
	}
	if sum != FullShare {
		v.add(field, "the shares of service %q sum to %s instead of 100%%", s.Name, sum)
	}
}

func (v *validation) checkRoutes(c *Configuration) {
	names := map[RouteName]bool{}
	prefixes := map[string]RouteName{}
	for i, r := range c.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if r.Name == "" {
			v.add(field+".name", "a route needs a name")
		}
		if names[r.Name] {
			v.add(field+".name", "route %q is declared twice", r.Name)
		}
		names[r.Name] = true
		for _, part := range r.Services() {
			if c.Service(part.Service) == nil {
				v.add(field+".service", "service %q does not exist", part.Service)
			}
			if part.Weight < 0 {
				v.add(field+".split", "weight %d of service %q is negative", part.Weight, part.Service)
			}
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			v.add(field+".pathPrefix", "path prefix %q does not start with /", r.PathPrefix)
		}
		key := r.Host + r.PathPrefix + " " + strings.Join(r.Methods, ",")
		if other, ok := prefixes[key]; ok {
			v.add(field+".pathPrefix", "route %q has the same path prefix and methods", other)
		}
		prefixes[key] = r.Name
		if r.TimeoutMS < 0 {
			v.add(field+".timeoutMs", "timeout %d ms is negative", r.TimeoutMS)
		}
	}
}

func (v *validation) checkMoves(c *Configuration) {
	active := map[ServiceName]PlanID{}
	for i := range c.Moves {
		m := &c.Moves[i]
		if !m.Phase.Active() {
			continue
		}
		field := fmt.Sprintf("moves[%d]", i)
		if other, ok := active[m.Service]; ok {
			v.add(field+".service", "service %q is already moved by %q", m.Service, other)
		}
		active[m.Service] = m.ID
		s := c.Service(m.Service)
		if s == nil {
			v.add(field+".service", "service %q does not exist", m.Service)
			continue
		}
		for _, version := range []VersionName{m.From, m.To} {
			if s.Version(version) == nil {
				v.add(field, "version %q of service %q does not exist", version, m.Service)
			}
		}
	}
}
