package setup

import (
	"cmp"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Bounds of the limits for clients.
const (
	minClientBytes       = 1 << 20 // one job of 256 KiB with what it decodes to
	maxClientBytes       = 1 << 40
	minClientConnections = 8
	maxClientConnections = 1 << 20
	minClientHeader      = 1 << 10
	maxClientHeader      = 1 << 20
	minClientTimeout     = 100 * time.Millisecond
	maxClientTimeout     = time.Hour
	minDescriptors       = 256
	maxDescriptors       = 1 << 30
)

// Limits from which those for clients are calculated for an entry or agent whose settings have none.
const (
	DefaultMemoryMiB   = 1024
	DefaultDescriptors = 8192
)

// Clients overrides limits for clients that guard.Derive calculates; 0 leaves the calculated limit.
type Clients struct {
	Bytes         int64          // of bodies, what they decode to, large headers and waiting responses
	Connections   int64          // of clients, in all
	PerAddress    int64          // connections from one address
	Handshakes    int64          // connections to the listener of sessions before their handshake has ended
	HeaderBytes   int64          // of the header of a request
	HeaderTimeout model.Duration // for the header of a request
	IdleTimeout   model.Duration // between two requests of a connection
	StallTimeout  model.Duration // without progress of a body or a response
}

// check checks the overrides; c may be nil. descriptors is the limit of the process, 0 if unknown.
func (c *Clients) check(at strict.Check, descriptors int64) {
	if c == nil {
		return
	}
	checkOverride(at.Field("Bytes"), c.Bytes, minClientBytes, maxClientBytes)
	checkOverride(at.Field("Connections"), c.Connections, minClientConnections, maxClientConnections)
	checkOverride(at.Field("PerAddress"), c.PerAddress, 1, maxClientConnections)
	checkOverride(at.Field("Handshakes"), c.Handshakes, minClientConnections, maxClientConnections)
	checkOverride(at.Field("HeaderBytes"), c.HeaderBytes, minClientHeader, maxClientHeader)
	for _, d := range []struct {
		name  string
		value model.Duration
	}{{"HeaderTimeout", c.HeaderTimeout}, {"IdleTimeout", c.IdleTimeout}, {"StallTimeout", c.StallTimeout}} {
		if d.value != 0 {
			model.CheckDuration(at.Field(d.name), d.value, minClientTimeout, maxClientTimeout)
		}
	}
	if c.Connections > 0 && c.PerAddress > c.Connections {
		at.Field("PerAddress").Fail(c.PerAddress, "at most Connections")
	}
	if n := c.Connections + c.Handshakes; descriptors > 0 && n >= descriptors {
		at.Field("Connections").Fail(n, "with Handshakes less than the %d descriptors of the process", descriptors)
	}
}

func checkOverride(at strict.Check, n, lowest, highest int64) {
	if n != 0 && (n < lowest || n > highest) {
		at.Fail(n, "%d to %d, or 0 for the default", lowest, highest)
	}
}

// checkProcess checks the limits of an entry or agent.
func checkProcess(c strict.Check, memoryMiB, descriptors int64, clients *Clients) {
	checkOverride(c.Field("MemoryMiB"), memoryMiB, minMemory, maxMemory)
	checkOverride(c.Field("Descriptors"), descriptors, minDescriptors, maxDescriptors)
	clients.check(c.Field("Clients"), cmp.Or(descriptors, DefaultDescriptors))
}
