package traffic

import (
	"runtime/debug"

	"sniperail.example/sniperail/internal/command/callers"
	"sniperail.example/sniperail/internal/process"
	"sniperail.example/sniperail/internal/settings"
)

// CallerLimits returns the limits of what this process holds for callers, and sets the memory from which the garbage collector runs
// more often, which is at most softMemory beside the callers' bytes unless that is 0. What the settings leave open follows from the machine.
func CallerLimits(s settings.Callers, softMemory int64) callers.Limits {
	s = s.WithDefaults()
	memory, descriptors := s.MachineMemory, s.Descriptors
	if memory == 0 {
		memory = process.MachineMemory()
	}
	if descriptors == 0 {
		descriptors = process.Descriptors()
	}
	limits := callers.Limits{
		Bytes: s.CallerBytes, Connections: s.CallerConnections,
		AddressShare: s.AddressShare, ListenerShare: s.ListenerShare, TenantShare: s.TenantShare,
		Grace: s.CallerGrace, Pace: callers.Pace{Grace: s.BodyGrace, Rate: s.BodyRate}, Fields: s.HeadFields,
	}
	if limits.Bytes == 0 {
		limits.Bytes = callers.BytesFor(memory)
	}
	if limits.Connections == 0 {
		limits.Connections = callers.ConnectionsFor(descriptors, s.ReservedDescriptors, limits.Bytes)
	}
	soft := callers.SoftMemoryFor(memory)
	if softMemory > 0 {
		soft = min(soft, softMemory+limits.Bytes)
	}
	debug.SetMemoryLimit(soft)
	limits.Outgoing = callers.OutgoingFor(descriptors, s.ReservedDescriptors, limits.Connections)
	return limits
}
