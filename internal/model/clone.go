package model

import "slices"

// Clone returns a copy that shares no slice with c at the level of services, routes, moves and events, so that the
// copy can be changed while c stays immutable.
func (c *Configuration) Clone() *Configuration {
	n := *c
	n.Services = slices.Clone(c.Services)
	for i := range n.Services {
		n.Services[i].Versions = slices.Clone(n.Services[i].Versions)
	}
	n.Routes = slices.Clone(c.Routes)
	n.Tenants = slices.Clone(c.Tenants)
	n.Moves = slices.Clone(c.Moves)
	n.Withdrawn = slices.Clone(c.Withdrawn)
	n.Events = slices.Clone(c.Events)
	n.Recent = slices.Clone(c.Recent)
	return &n
}

// SetShare sets the share of a version and adds the version if it is missing.
func (s *Service) SetShare(version VersionName, share Share) {
	if v := s.Version(version); v != nil {
		v.Share = share
		return
	}
	s.Versions = append(s.Versions, VersionShare{Version: version, Share: share})
}
