package settings

import (
	"cmp"
	"time"
)

// Callers holds the limits of what a process holds for callers that do not keep to the operator's limits. Embed it in the settings of
// a daemon.
type Callers struct {
	MachineMemory       int64 `placeholder:"BYTES" help:"Memory of the machine; 0: as the system says."`
	Descriptors         int   `help:"File descriptors of the process; 0: as the system says."`
	ReservedDescriptors int   `default:"200" help:"File descriptors that are reserved for files."`

	CallerBytes       int64 `placeholder:"BYTES" help:"Memory for heads, bodies and unread responses of callers; 0: three eighths of the machine's memory."`
	CallerConnections int   `help:"Connections of callers on all listeners; 0: three fifths of the descriptors, as far as half of caller-bytes holds them."`

	AddressShare  float64 `default:"0.8" help:"Part of caller-bytes and caller-connections that one address may have."`
	ListenerShare float64 `default:"0.6" help:"Part of them that one listener may have."`
	TenantShare   float64 `default:"0.5" help:"Part of caller-bytes that the requests of one tenant may have."`

	CallerGrace time.Duration `default:"1s" help:"Time for which a connection waits for its caller before it may be ended in favour of another, once a limit is reached."`
	BodyGrace   time.Duration `default:"30s" help:"Time that a caller has for a long request body, whatever its length."`
	BodyRate    int64         `default:"2048" help:"Bytes per second of such a body beyond body-grace."`
	HeadFields  int           `default:"1000" help:"Fields of a request head."`
}

const (
	maxMemory      = 1 << 44
	maxDescriptors = 1 << 24
	maxHeadFields  = 100_000
)

// WithDefaults returns the settings with the defaults of the flags in place of zeros, which stand for them in settings that no command
// line was parsed into.
func (s Callers) WithDefaults() Callers {
	s.ReservedDescriptors = cmp.Or(s.ReservedDescriptors, 200)
	s.AddressShare = cmp.Or(s.AddressShare, 0.8)
	s.ListenerShare = cmp.Or(s.ListenerShare, 0.6)
	s.TenantShare = cmp.Or(s.TenantShare, 0.5)
	s.CallerGrace = cmp.Or(s.CallerGrace, time.Second)
	s.BodyGrace = cmp.Or(s.BodyGrace, 30*time.Second)
	s.BodyRate = cmp.Or(s.BodyRate, 2048)
	s.HeadFields = cmp.Or(s.HeadFields, 1000)
	return s
}

func (s *Callers) check(c *Checks) {
	c.Number("machine-memory", float64(s.MachineMemory), 0, maxMemory)
	c.Number("descriptors", float64(s.Descriptors), 0, maxDescriptors)
	c.Number("reserved-descriptors", float64(s.ReservedDescriptors), 0, maxDescriptors)
	c.Number("caller-bytes", float64(s.CallerBytes), 0, maxMemory)
	c.Number("caller-connections", float64(s.CallerConnections), 0, maxDescriptors)
	c.Number("address-share", s.AddressShare, 0, 1)
	c.Number("listener-share", s.ListenerShare, 0, 1)
	c.Number("tenant-share", s.TenantShare, 0, 1)
	c.Duration("caller-grace", s.CallerGrace, 0, maxGrace)
	c.Duration("body-grace", s.BodyGrace, 0, maxGrace)
	c.Number("body-rate", float64(s.BodyRate), 0, maxMemory)
	c.Number("head-fields", float64(s.HeadFields), 0, maxHeadFields)
}
