// Package clientlimit decides which connection or request of a client is closed or
// refused when connections, memory or descriptors run short. It does no I/O.
package clientlimit

import (
	"math/bits"
	"net/http"
)

const (
	// reservedDescriptors are kept for files, as the platform requires.
	reservedDescriptors = 200
	// ownDescriptors are for the store, the other entries, the listeners and the
	// connections to the readiness and metrics addresses.
	ownDescriptors = 24 + 2*adminConnections
	// adminConnections is the largest number of connections to one such address. A load
	// balancer and a metrics server use a few.
	adminConnections = 32
	// connectionMemory is the memory of a connection in bytes: two stacks, the buffers of
	// net/http, its socket, and headers up to freeHeader. Idle connections take 20 to 25 KB.
	connectionMemory = 32 << 10
	// connectionPart is the part of the instance's memory for connections.
	connectionPart = 0.15
	// headerPart is the part for parsed headers above freeHeader.
	headerPart = 0.08
	// bodyPart is the part for bodies of requests. Buffers that grow leave garbage of the
	// same size behind.
	bodyPart = 0.12
	// smallBodyPart is the part for small bodies. They do not wait for large ones.
	smallBodyPart = 0.03
	// unreadPart is the part for bytes that the kernel has received and nobody has read.
	unreadPart = 0.06
	// socketPart is the part for either buffer of one connection: 68 KiB on the smallest
	// entry, enough for 14 Mbit/s at a round trip of 35 ms.
	socketPart = 1.0 / 2048
	// maxSocketBuffer serves 200 Mbit/s at a round trip of 10 ms.
	maxSocketBuffer = 256 << 10
	// pendingBufferPart is the part of the socket buffer for a connection that sends no
	// large body. An ordinary header and a short prompt fit into it.
	pendingBufferPart = 1.0 / 4
	// maxUnscaledBuffer is the largest socket buffer for which pendingBufferPart applies.
	// The kernel chooses the window scale of a connection from its first buffer, and
	// without a scale the window stays below 64 KiB (from the kernel's rule, not measured).
	maxUnscaledBuffer = 72 << 10
	// pendingPart is the part of the instance's memory for connections that wait to be
	// accepted. The kernel drops attempts to connect while the queue is full, and callers
	// repeat them after a second, so the queue has room for a burst of about 1,000.
	pendingPart = 0.25
	// pendingAdmin is the queue of an address for readiness probes or metrics.
	pendingAdmin = 1024
	// kernelBufferFactor is how much of a buffer the kernel grants: it doubles the size
	// for its own overhead, and fills the whole with data that arrives in large segments.
	kernelBufferFactor = 2
	// addressPart is the part of the connections that one client address may have: many
	// callers may share an address.
	addressPart = 0.875
	// defaultMemory applies when the memory of the instance is unknown.
	defaultMemory = 512 << 20
	// minBodyMemory lets one body of 4 MiB be read on any instance, with the copy that
	// remains while its buffer grows.
	minBodyMemory = 7 << 20
)

// Limits bounds what clients may hold together. Sizes are in bytes.
type Limits struct {
	Connections        int   // open connections
	AddressConnections int   // open connections of one client address
	BackendConnections int   // open connections to backend servers; 0 for no limit
	HeaderMemory       int64 // parsed headers, without [FreeHeader] of each connection
	BodyMemory         int64 // bodies
	SmallBodyMemory    int64 // bodies up to a few KiB, in addition to BodyMemory
	UnreadBytes        int64 // bytes that arrived and were not read
	SocketBuffer       int   // receive buffer and send buffer of a connection in the kernel
	PendingBuffer      int   // receive buffer of a connection that sends no large body
	PendingConnections int   // connections that wait to be accepted
}

// ForInstance returns the limits of an instance with a number of bytes of memory and
// of descriptors; 0 means unknown.
func ForInstance(memory, descriptors int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	part := func(p float64) int64 { return int64(float64(memory) * p) }
	l := Limits{
		HeaderMemory: part(headerPart), BodyMemory: max(minBodyMemory, part(bodyPart)), SmallBodyMemory: part(smallBodyPart),
		UnreadBytes: part(unreadPart), SocketBuffer: int(min(maxSocketBuffer, part(socketPart))), Connections: int(part(connectionPart) / connectionMemory),
	}
	if descriptors > 0 {
		free := max(2, descriptors-reservedDescriptors-ownDescriptors)
		l.Connections = min(l.Connections, int(free/2)) // each request may need one to a backend server
		l.BackendConnections = int(free) - l.Connections
	}
	l = l.withDerived()
	l.PendingConnections = int(part(pendingPart)) / (kernelBufferFactor * l.PendingBuffer)
	return l
}

// ForAdmin returns the limits of an address for readiness probes or metrics.
func ForAdmin() Limits {
	const kilobyte = 1 << 10
	return Limits{Connections: adminConnections, HeaderMemory: 512 * kilobyte, UnreadBytes: 1024 * kilobyte, SocketBuffer: 16 * kilobyte, PendingConnections: pendingAdmin}.withDerived()
}

func (l Limits) withDerived() Limits {
	l.PendingBuffer = pendingBuffer(l.SocketBuffer)
	l.AddressConnections = max(1, int(float64(l.Connections)*addressPart))
	return l
}

// ReceiveMemory returns the memory in bytes of the receive buffer of a connection that
// sends a large body.
func (l Limits) ReceiveMemory() int { return kernelBufferFactor * l.SocketBuffer }

// pendingBuffer returns the first receive buffer of a connection that gets a larger one
// when it sends a large body. It is a power of two if the window needs a scale: with that one
// the window can grow to twice the buffer.
func pendingBuffer(whole int) int {
	if whole <= maxUnscaledBuffer {
		return int(float64(whole) * pendingBufferPart)
	}
	return 1 << (bits.Len(uint(whole-1)) - 1)
}

const (
	// FreeHeader is the cost of a header in bytes that is part of each connection's own
	// memory. The header of an ordinary request costs 2 to 4 KB.
	FreeHeader = 6 << 10
	// fieldCost is the memory of a header field in bytes beside its text: entry of the
	// map, slice of values, and string headers, here and in the copy that is forwarded.
	fieldCost = 280
	// byteCost is how often a byte of a header is held: as text, in its copy, and in the
	// request that is forwarded.
	byteCost = 3
)

// HeaderCost returns the memory in bytes of a header with a number of bytes and lines.
func HeaderCost(bytes, lines int) int {
	return byteCost*bytes + fieldCost*lines
}

// ParsedCost returns the memory in bytes of parsed fields.
func ParsedCost(fields http.Header) int {
	bytes, lines := 0, 0
	for name, values := range fields {
		for _, value := range values {
			bytes += len(name) + len(value)
			lines++
		}
	}
	return HeaderCost(bytes, lines)
}
