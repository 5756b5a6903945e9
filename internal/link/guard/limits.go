package guard

import (
	"cmp"
	"math"
	"syscall"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
)

const (
	// bytesDivisor and connectionsDivisor give an eighth and a fifth of the memory limit to bodies and to connections. With
	// what the collector adds, both fit below the 0.7 of the limit that the Go runtime may use. With a sixth for bodies, one
	// of six crowds of 600 connections took an older entry with 64 MiB to 68 MiB.
	bytesDivisor       = 8
	connectionsDivisor = 5
	// connectionBytes is the memory of an HTTP connection without a large header or body: 20 to 40 KiB for its goroutines
	// and buffers.
	connectionBytes  = 32 << 10
	fileDescriptors  = 200 // for files
	ownDivisor       = 4   // a quarter of the descriptors is left for sessions and connections to the store and the worker
	minOwn           = 64
	perAddressParts  = 16 // one address may have all connections but a sixteenth, since a load balancer has one address
	handshakeDivisor = 16
	minHandshakes    = 16
	maxHandshakes    = 256
	minConnections   = 16
	maxConnections   = 1 << 20
	minBytes         = 1 << 20 // serves one body of 256 KiB with what it decodes to
	headerBytes      = 16 << 10
	headerTimeout    = 3 * time.Second
	idleTimeout      = 15 * time.Second
	stallTimeout     = 15 * time.Second
)

// Limits holds the limits for the clients of a process.
type Limits struct {
	Bytes         int64 // of bodies, what they decode to, large headers and waiting responses
	Connections   int   // of clients, in all
	PerAddress    int   // connections from one address
	Handshakes    int   // connections to the listener of sessions before their handshake has ended
	HeaderBytes   int   // of the header of a request
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // between two requests
	StallTimeout  time.Duration // without progress of a body or a response
}

// Derive returns the limits of a process with the given memory limit in MiB and limit of descriptors. 0 MiB means
// setup.DefaultMemoryMiB, and 0 descriptors the limit of the operating system.
func Derive(memoryMiB, descriptors int64) Limits {
	memoryMiB = cmp.Or(memoryMiB, setup.DefaultMemoryMiB)
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	memory := memoryMiB << 20
	free := max(0, descriptors-fileDescriptors)
	handshakes := min(max(free/handshakeDivisor, minHandshakes), maxHandshakes)
	byDescriptors := free - max(free/ownDivisor, minOwn) - handshakes
	byMemory := memory / connectionsDivisor / connectionBytes
	l := Limits{
		Bytes:       max(memory/bytesDivisor, minBytes),
		Connections: int(min(max(min(byDescriptors, byMemory), minConnections), maxConnections)),
		Handshakes:  int(handshakes),
		HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, StallTimeout: stallTimeout,
	}
	l.PerAddress = perAddress(l.Connections)
	return l
}

// With returns the limits with the overrides of the settings; c may be nil.
func (l Limits) With(c *setup.Clients) Limits {
	if c == nil {
		return l
	}
	l.Bytes = cmp.Or(c.Bytes, l.Bytes)
	if c.Connections > 0 {
		l.Connections = int(c.Connections)
		l.PerAddress = perAddress(l.Connections)
	}
	l.PerAddress = min(cmp.Or(int(c.PerAddress), l.PerAddress), l.Connections)
	l.Handshakes = cmp.Or(int(c.Handshakes), l.Handshakes)
	l.HeaderBytes = cmp.Or(int(c.HeaderBytes), l.HeaderBytes)
	l.HeaderTimeout = cmp.Or(time.Duration(c.HeaderTimeout), l.HeaderTimeout)
	l.IdleTimeout = cmp.Or(time.Duration(c.IdleTimeout), l.IdleTimeout)
	l.StallTimeout = cmp.Or(time.Duration(c.StallTimeout), l.StallTimeout)
	return l
}

func perAddress(connections int) int { return connections - connections/perAddressParts }

// systemDescriptors returns the limit of descriptors that the operating system sets for this process.
func systemDescriptors() int64 {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return 1024 // the usual limit of a process
	}
	return int64(min(r.Cur, math.MaxInt32))
}
