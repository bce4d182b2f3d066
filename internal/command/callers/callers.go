// Package callers decides what a process holds for its callers: bytes and connections, all together and in bounded parts for each
// caller's address, each listener and each tenant. It also decides which connection ends when a limit is reached, and how long a
// body that stops short is waited for. It does no I/O and reads no clock.
package callers

import "time"

// Limits are the limits of one process.
type Limits struct {
	// Bytes bounds what is held for all callers, and Connections their connections on all listeners.
	Bytes       int64
	Connections int
	// Outgoing bounds the connections to other daemons on which their requests are passed on.
	Outgoing int
	// AddressShare, ListenerShare and TenantShare are the parts of these that one address, listener or tenant may have.
	AddressShare, ListenerShare, TenantShare float64
	// Grace is the time for which a connection has to wait for its caller before it may be ended in favour of another.
	Grace time.Duration
	Pace  Pace
	// Fields bounds the fields of a request's head.
	Fields int
}

const (
	// ConnectionBytes is charged for a connection, with its first request. One of PipelineServer takes 10 KB while idle and 17 KB with a
	// request that has begun.
	ConnectionBytes = 20 << 10
	// RequestBytes is charged for each further request that is read and not answered: a goroutine, its stack, request and response.
	RequestBytes = 8 << 10
	// FieldBytes is charged for each field of a head: its entry in a map, two strings and a slice.
	FieldBytes = 160
	// StreamBytes is charged for a request whose body is streamed: the buffers of both connections and of the copy.
	StreamBytes = 160 << 10

	// memoryDivisor gives callers 3/8 of the memory: an idle process takes 30 to 60 MB, and garbage up to a quarter of the heap.
	memoryPart, memoryDivisor = 3, 8
	// maxBytes bounds the budget on a large machine, and leastBytes keeps it above what a single request takes.
	maxBytes, leastBytes = 512 << 20, 4 << 20
	// descriptorPart of descriptorDivisor are for connections of callers; calls to other daemons and to the target need the rest.
	descriptorPart, descriptorDivisor = 3, 5
	leastConnections                  = 16
	// outgoingPart of outgoingDivisor of the other descriptors are for connections to other daemons. The target, the store and the
	// messages between daemons need the rest.
	outgoingPart, outgoingDivisor = 2, 3
	// softMemoryPart of softMemoryDivisor is the memory from which the garbage collector runs more often.
	softMemoryPart, softMemoryDivisor = 7, 10
)

// BytesFor returns the budget in bytes on a machine with so much memory.
func BytesFor(memory int64) int64 {
	return min(max(memory/memoryDivisor*memoryPart, leastBytes), maxBytes)
}

// SoftMemoryFor returns the memory from which the garbage collector runs more often.
func SoftMemoryFor(memory int64) int64 { return memory / softMemoryDivisor * softMemoryPart }

// ConnectionsFor returns the limit of connections for a process with so many file descriptors, of which some are reserved for files.
// Connections take at most half of the budget in bytes.
func ConnectionsFor(descriptors, reserved int, bytes int64) int {
	n := (descriptors - reserved) * descriptorPart / descriptorDivisor
	return max(min(n, int(bytes/2/ConnectionBytes)), leastConnections)
}

// OutgoingFor returns the limit of connections to other daemons, beside so many connections of callers.
func OutgoingFor(descriptors, reserved, connections int) int {
	return max((descriptors-reserved-connections)*outgoingPart/outgoingDivisor, leastConnections)
}

// Pace is how fast a caller has to send a body.
type Pace struct {
	// Grace is the time that each body has, whatever its length, and Rate the bytes per second beyond that.
	Grace time.Duration
	Rate  int64
}

// Deadline returns until when a body that began at a time may go on, if so many bytes of it have come. Its sender has the grace time
// anew with each byte that is ahead of the rate.
func (p Pace) Deadline(began time.Time, read int64) time.Time {
	return began.Add(p.Grace + time.Duration(float64(read)/float64(max(p.Rate, 1))*float64(time.Second)))
}

// HeadBytes returns what is charged for a request beyond ConnectionBytes or RequestBytes, because of its head.
func HeadBytes(fields, size int) int64 {
	// A usual head of some twenty fields is part of RequestBytes.
	const usualFields, usualSize = 32, 2 << 10
	return int64(max(fields-usualFields, 0))*FieldBytes + int64(max(size-usualSize, 0))
}
