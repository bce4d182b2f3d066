// Package distribution implements how configurations are distributed down the tree of daemons: checksums, deltas, and the
// replica that a daemon holds and sends to the daemons below it.
package distribution

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sniperail.example/sniperail/internal/model"
)

// digest hashes fields. Each string is preceded by its length, so that different neighbouring fields cannot give the same
// bytes.
type digest struct {
	hash *xxhash.Digest
	// buffer collects fields, because a few long writes to the hash are faster than many short ones.
	buffer []byte
}

// digestBufferSize is the size at which the buffer is written to the hash.
const digestBufferSize = 4 << 10

func newDigest() *digest {
	return &digest{hash: xxhash.New(), buffer: make([]byte, 0, digestBufferSize+digestBufferSize/4)}
}

func (d *digest) addStrings(values ...string) {
	for _, s := range values {
		d.addNumbers(uint64(len(s)))
		d.buffer = append(d.buffer, s...)
	}
}

func (d *digest) addNumbers(values ...uint64) {
	for _, n := range values {
		d.buffer = append(d.buffer, byte(n), byte(n>>8), byte(n>>16), byte(n>>24), byte(n>>32), byte(n>>40), byte(n>>48), byte(n>>56))
	}
	if len(d.buffer) >= digestBufferSize {
		d.flush()
	}
}

func (d *digest) flush() {
	_, _ = d.hash.Write(d.buffer) // never fails
	d.buffer = d.buffer[:0]
}

func (d *digest) addBool(b bool) {
	if b {
		d.addNumbers(1)
		return
	}
	d.addNumbers(0)
}

// Checksum returns a checksum of the distributed form of a configuration. It covers the number, services by name, routes by
// name, tenants by name, active moves by ID, withdrawn versions in order, the dashboard with its labels by name, and the callers' limits.
func Checksum(c *model.Configuration) uint64 {
	d := newDigest()
	d.addNumbers(uint64(c.Number), uint64(len(c.Services)), uint64(len(c.Routes)), uint64(len(c.Withdrawn)))
	services, routes, moves := sortedBy(c.Services, serviceKey), sortedBy(c.Routes, routeKey), sortedBy(c.Moves, moveKey)
	tenants := sortedBy(c.Tenants, tenantKey)
	for i := range services {
		d.addService(&services[i])
	}
	for i := range routes {
		d.addRoute(&routes[i])
	}
	for i := range tenants {
		d.addTenant(&tenants[i])
	}
	for i := range moves {
		if moves[i].Phase.Active() {
			d.addMove(&moves[i])
		}
	}
	for _, w := range c.Withdrawn {
		d.addStrings(string(w.Service), string(w.Version))
	}
	d.addDashboard(c.Dashboard)
	d.addLimits(c.Limits)
	d.flush()
	return d.hash.Sum64()
}

func (d *digest) addService(s *model.Service) {
	d.addStrings(string(s.Name), s.Customer, s.HealthPath)
	d.addNumbers(uint64(s.Changed), uint64(len(s.Versions)), uint64(len(s.DependsOn)), uint64(s.Connections))
	d.addNumbers(math.Float64bits(s.WarmupPerSecond), uint64(s.WarmupMS))
	for _, v := range s.Versions {
		d.addStrings(string(v.Version))
		d.addNumbers(uint64(v.Share))
	}
	for _, name := range s.DependsOn {
		d.addStrings(string(name))
	}
}

func (d *digest) addRoute(r *model.Route) {
	d.addStrings(string(r.Name), string(r.Service), r.Host, r.PathPrefix)
	d.addNumbers(uint64(len(r.Split)), uint64(r.TargetLatencyMS), uint64(r.MaxAttempts), uint64(r.Priority))
	for _, part := range r.Split {
		d.addStrings(string(part.Service))
		d.addNumbers(uint64(part.Weight))
	}
	d.addNumbers(uint64(len(r.Methods)))
	d.addStrings(r.Methods...)
	d.addBool(r.Idempotent)
	d.addBool(r.Public)
	d.addNumbers(uint64(r.TimeoutMS))
	d.addBool(r.Once != nil)
	if r.Once != nil {
		d.addStrings(r.Once.Header)
		d.addNumbers(uint64(len(r.Once.DigestFields)), uint64(r.Once.WindowSeconds))
		d.addStrings(r.Once.DigestFields...)
	}
}

func (d *digest) addTenant(t *model.Tenant) {
	d.addStrings(string(t.Name))
	d.addNumbers(uint64(len(t.Keys)), math.Float64bits(t.RatePerSecond), math.Float64bits(t.Burst))
	for _, key := range t.Keys {
		d.addStrings(string(key[:]))
	}
	d.addBool(t.Priority != nil)
	if t.Priority != nil {
		d.addNumbers(uint64(*t.Priority))
	}
}

func (d *digest) addMove(m *model.Move) {
	d.addStrings(string(m.ID), string(m.Service), string(m.From), string(m.To), string(m.Phase), string(m.Resume), m.Reason,
		m.ConfirmedBy)
	d.addNumbers(uint64(m.Deadline.UnixNano()), uint64(m.WatchSeconds), uint64(m.Step), uint64(m.Since.UnixNano()),
		uint64(m.Number), uint64(len(m.Steps)))
	for _, s := range m.Steps {
		d.addNumbers(uint64(s.Share), uint64(s.Earliest.UnixNano()), uint64(s.MinCalls))
	}
}

func (d *digest) addLimits(l *model.CallerLimits) {
	d.addBool(l != nil)
	if l != nil {
		d.addNumbers(uint64(l.HeaderBytes), uint64(l.BodyBytes), uint64(l.HeaderTimeoutMS), uint64(l.IdleTimeoutMS))
	}
}

func (d *digest) addDashboard(b *model.Dashboard) {
	d.addBool(b != nil)
	if b == nil {
		return
	}
	d.addStrings(b.MoveMetric)
	names := make([]string, 0, len(b.Labels))
	for name := range b.Labels {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		d.addStrings(name, b.Labels[name])
	}
}

// sortedBy returns the items sorted by key. Items that are already sorted, as in all results of Strip, are returned without a
// copy.
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
