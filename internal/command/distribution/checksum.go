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
	// buffer gathers fields, because the hash takes few long pieces faster than many short ones.
	buffer []byte
}

// digestBuffer is the size at which the buffer goes into the hash.
const digestBuffer = 4 << 10

func newDigest() *digest {
	return &digest{hash: xxhash.New(), buffer: make([]byte, 0, digestBuffer+digestBuffer/4)}
}

func (d *digest) text(values ...string) {
	for _, s := range values {
		d.number(uint64(len(s)))
		d.buffer = append(d.buffer, s...)
	}
}

func (d *digest) number(values ...uint64) {
	for _, n := range values {
		d.buffer = append(d.buffer, byte(n), byte(n>>8), byte(n>>16), byte(n>>24), byte(n>>32), byte(n>>40), byte(n>>48), byte(n>>56))
	}
	if len(d.buffer) >= digestBuffer {
		d.flush()
	}
}

func (d *digest) flush() {
	_, _ = d.hash.Write(d.buffer) // never fails
	d.buffer = d.buffer[:0]
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
	d := newDigest()
	d.number(uint64(c.Number), uint64(len(c.Services)), uint64(len(c.Routes)), uint64(len(c.Withdrawn)))
	services, routes, moves := sortedBy(c.Services, serviceKey), sortedBy(c.Routes, routeKey), sortedBy(c.Moves, moveKey)
	for i := range services {
		d.service(&services[i])
	}
	for i := range routes {
		d.route(&routes[i])
	}
	for i := range moves {
		if moves[i].Phase.Active() {
			d.move(&moves[i])
		}
	}
	for _, w := range c.Withdrawn {
		d.text(string(w.Service), string(w.Version))
	}
	d.dashboard(c.Dashboard)
	d.limits(c.Limits)
	d.flush()
	return d.hash.Sum64()
}

func (d *digest) service(s *model.Service) {
	d.text(string(s.Name), s.Customer, s.HealthPath)
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

// sortedBy returns the items in the order of their keys. Items in order already, as in all configurations that come from
// Strip, are returned as they are, without a copy.
func sortedBy[T any](items []T, key func(*T) string) []T {
	for i := 1; i < len(items); i++ {
		if key(&items[i-1]) > key(&items[i]) {
			sorted := slices.Clone(items)
			slices.SortStableFunc(sorted, func(a, b T) int { return strings.Compare(key(&a), key(&b)) })
			return sorted
		}
	}
	return items
}
