package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sniperail.example/sniperail/internal/model"
)

// Digest returns a digest of the live members that one child lists or, for an empty child, of all live and attached members.
// It does not depend on the order of the members.
func (m *Members) Digest(via model.DaemonID) uint64 {
	var sum uint64
	for _, member := range m.members {
		if member.Live() && (member.Via == via || (via == "" && member.Via != "")) {
			sum ^= targetDigest(&member.Target)
		}
	}
	return sum
}

func targetDigest(t *model.Target) uint64 {
	d := xxhash.NewWithSeed(uint64(t.Incarnation))
	for _, s := range []string{string(t.Daemon), string(t.State), t.Address, t.PeerAddress} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// MarkDigest returns a digest of a set of marks. It does not depend on their order.
func MarkDigest(marks []model.Mark) uint64 {
	var sum uint64
	for i := range marks {
		sum ^= xxhash.Sum64String(string(marks[i].Service) + "\x00" + string(marks[i].Version) + "\x00" + string(marks[i].Move))
	}
	return sum
}

// HighestAbove returns the child with the highest own number if that is above the given number, or nil.
func (m *Members) HighestAbove(number model.Number) *Child {
	var ahead *Child
	for _, c := range m.Children() {
		if c.OwnNumber > number {
			ahead, number = c, c.OwnNumber
		}
	}
	return ahead
}

// InForce summarises this daemon, whose number is own, and the daemons below it.
func (m *Members) InForce(own model.Number, dc model.DataCentre) model.InForce {
	f := model.InForce{Number: own}
	lowerTo := func(n model.Number) {
		if n > 0 && (f.Number == 0 || n < f.Number) {
			f.Number = n
		}
	}
	for _, c := range m.Children() {
		lowerTo(c.Number)
		f.Refusals = append(f.Refusals, c.Refusals...)
	}
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		member := m.members[id]
		if !member.Live() {
			f.Silent = append(f.Silent, model.SilentDaemon{Daemon: id, DataCentre: dc, Since: member.SilentSince})
			continue
		}
		f.Live++
		if member.Via == "" {
			lowerTo(member.MinNumber)
		}
	}
	return f
}

// LiveTargets returns the live and attached targets, sorted by daemon, for a full heartbeat.
func (m *Members) LiveTargets() []model.Target {
	var list []model.Target
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		if member := m.members[id]; member.Live() && member.Via != "" {
			list = append(list, member.Target)
		}
	}
	return list
}

// AdvertisedTargets returns the advertised targets of all members, sorted by daemon.
func (m *Members) AdvertisedTargets() []model.Target {
	list := make([]model.Target, 0, len(m.members))
	for _, member := range m.members {
		list = append(list, member.AdvertisedTarget())
	}
	slices.SortFunc(list, func(a, b model.Target) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return list
}
