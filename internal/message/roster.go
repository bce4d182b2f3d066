package message

import (
	"cmp"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// TargetGroup holds targets that differ only in their names, incarnations, addresses and times. A roster of 1,300 targets
// takes less than half the bytes when it is grouped, and each starting daemon receives a whole roster.
type TargetGroup struct {
	Service            model.ServiceName
	Version            model.VersionName
	DataCentre         model.DataCentre
	Region             model.Region
	State              model.TargetState
	Slots, Connections int
	Members            []GroupMember
}

// GroupMember is one target of a group. Since is in Unix nanoseconds; 0 is the zero time.
type GroupMember struct {
	Daemon      model.DaemonID
	Incarnation model.Incarnation
	Address     string
	PeerAddress string
	Since       int64
}

// GroupTargets puts targets into groups, in the order of the first target of each group.
func GroupTargets(targets []model.Target) []TargetGroup {
	var groups []TargetGroup
	index := map[model.Target]int{}
	for _, t := range targets {
		shared := model.Target{
			Service: t.Service, Version: t.Version, DataCentre: t.DataCentre, Region: t.Region, State: t.State,
			Slots: t.Slots, Connections: t.Connections,
		}
		i, ok := index[shared]
		if !ok {
			i = len(groups)
			index[shared] = i
			groups = append(groups, TargetGroup{
				Service: t.Service, Version: t.Version, DataCentre: t.DataCentre, Region: t.Region, State: t.State,
				Slots: t.Slots, Connections: t.Connections,
			})
		}
		m := GroupMember{Daemon: t.Daemon, Incarnation: t.Incarnation, Address: t.Address, PeerAddress: t.PeerAddress}
		if !t.Since.IsZero() {
			m.Since = t.Since.UnixNano()
		}
		groups[i].Members = append(groups[i].Members, m)
	}
	return groups
}

// Targets returns the targets of all groups, sorted by daemon.
func (c *RosterChange) Targets() []model.Target {
	var list []model.Target
	for _, g := range c.Groups {
		for _, m := range g.Members {
			t := model.Target{
				Daemon: m.Daemon, Incarnation: m.Incarnation, Service: g.Service, Version: g.Version,
				DataCentre: g.DataCentre, Region: g.Region, Address: m.Address, PeerAddress: m.PeerAddress,
				Slots: g.Slots, Connections: g.Connections, State: g.State,
			}
			if m.Since != 0 {
				t.Since = time.Unix(0, m.Since).UTC()
			}
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b model.Target) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return list
}
