// Package distribution moves configurations down the tree of daemons: checksums, deltas, and the replica that a daemon
// holds and serves to the daemons below it.
package distribution

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sniperail.example/sniperail/internal/model"
)

// digest writes fields into a hash, each string with its length first so that neighbouring fields cannot merge.
type digest struct {
	hash *xxhash.Digest
	buf  [8]byte
}

func (d *digest) text(values ...string) {
	for _, s := range values {
		d.number(uint64(len(s)))
		_, _ = d.hash.WriteString(s)
	}
}

func (d *digest) number(values ...uint64) {
	for _, n := range values {
		for i := range d.buf {
			d.buf[i] = byte(n >> (8 * i))
		}
		_, _ = d.hash.Write(d.buf[:])
	}
}

func (d *digest) flag(b bool) {
	if b {
		d.number(1)
		return
	}
	d.number(0)
}

// Checksum covers the distributed form of a configuration: number, services by name, routes by name, active moves by ID,
// withdrawn versions in order, and the dashboard with its labels by name.
func Checksum(c *model.Configuration) uint64 {
	d := &digest{hash: xxhash.New()}
	d.number(uint64(c.Number), uint64(len(c.Services)), uint64(len(c.Routes)), uint64(len(c.Withdrawn)))
	for _, s := range sortedBy(c.Services, func(s model.Service) string { return string(s.Name) }) {
		d.service(&s)
	}
	for _, r := range sortedBy(c.Routes, func(r model.Route) string { return string(r.Name) }) {
		d.route(&r)
	}
	for _, m := range sortedBy(c.Moves, func(m model.Move) string { return string(m.ID) }) {
		if m.Phase.Active() {
			d.move(&m)
		}
	}
	for _, w := range c.Withdrawn {
		d.text(string(w.Service), string(w.Version))
	}
	d.dashboard(c.Dashboard)
	d.limits(c.Limits)
	return d.hash.Sum64()
}

func (d *digest) service(s *model.Service) {
	d.text(string(s.Name), s.Customer)
	d.number(uint64(s.Changed), uint64(len(s.Versions)), uint64(len(s.DependsOn)), uint64(s.Connections))
	for _, v := range s.Versions {
		d.text(string(v.Version))
		d.number(uint64(v.Share))
	}
	for _, name := range s.DependsOn {
		d.text(string(name))
	}
}

func (d *digest) route(r *model.Route) {
	d.text(string(r.Name), string(r.Service), r.Host, r.PathPrefix)
	d.number(uint64(len(r.Split)), uint64(r.TargetLatencyMS), uint64(r.MaxAttempts), uint64(r.Priority))
	for _, part := range r.Split {
		d.text(string(part.Service))
		d.number(uint64(part.Weight))
	}
	d.number(uint64(len(r.Methods)))
	d.text(r.Methods...)
	d.flag(r.Idempotent)
	d.number(uint64(r.TimeoutMS))
	d.flag(r.Once != nil)
	if r.Once != nil {
		d.text(r.Once.Header)
		d.number(uint64(len(r.Once.DigestFields)), uint64(r.Once.WindowSeconds))
		d.text(r.Once.DigestFields...)
	}
}

func (d *digest) move(m *model.Move) {
	d.text(string(m.ID), string(m.Service), string(m.From), string(m.To), string(m.Phase), string(m.Resume), m.Reason,
		m.ConfirmedBy)
	d.number(uint64(m.Deadline.UnixNano()), uint64(m.WatchSeconds), uint64(m.Step), uint64(m.Since.UnixNano()),
		uint64(m.Number), uint64(len(m.Steps)))
	for _, s := range m.Steps {
		d.number(uint64(s.Share), uint64(s.Earliest.UnixNano()), uint64(s.MinCalls))
	}
}

func (d *digest) limits(l *model.CallerLimits) {
	d.flag(l != nil)
	if l != nil {
		d.number(uint64(l.HeaderBytes), uint64(l.BodyBytes), uint64(l.HeaderTimeoutMS), uint64(l.IdleTimeoutMS))
	}
}

func (d *digest) dashboard(b *model.Dashboard) {
	d.flag(b != nil)
	if b == nil {
		return
	}
	d.text(b.MoveMetric)
	names := make([]string, 0, len(b.Labels))
	for name := range b.Labels {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		d.text(name, b.Labels[name])
	}
}

func sortedBy[T any](items []T, key func(T) string) []T {
	return slices.SortedFunc(slices.Values(items), func(a, b T) int { return strings.Compare(key(a), key(b)) })
}
