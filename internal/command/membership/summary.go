package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sniperail.example/sniperail/internal/model"
)

// Digest covers the live members heard through one child; with an empty child, all live members that are attached.
// The order of the members does not matter.
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

// MarkDigest covers a set of marks in any order.
func MarkDigest(marks []model.Mark) uint64 {
	var sum uint64
	for i := range marks {
		sum ^= xxhash.Sum64String(string(marks[i].Service) + "\x00" + string(marks[i].Version) + "\x00" + string(marks[i].Move))
	}
	return sum
}

// InForce summarises the daemons at and below this one, whose own number is given.
func (m *Members) InForce(own model.Number, dc model.DataCentre) model.InForce {
	f := model.InForce{Number: own}
	lower := func(n model.Number) {
		if n > 0 && (f.Number == 0 || n < f.Number) {
			f.Number = n
		}
	}
	for _, c := range m.Children() {
		lower(c.Number)
		f.Refusals = append(f.Refusals, c.Refusals...)
	}
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		member := m.members[id]
		if !member.Live() {
			f.Silent = append(f.Silent, model.SilentDaemon{Daemon: id, DataCentre: dc, Since: member.Silent})
			continue
		}
		f.Live++
		if member.Via == "" {
			lower(member.Floor)
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

// All returns every member as other daemons see it, sorted by daemon.
func (m *Members) All() []model.Target {
	list := make([]model.Target, 0, len(m.members))
	for _, member := range m.members {
		list = append(list, member.Presented())
	}
	slices.SortFunc(list, func(a, b model.Target) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return list
}
