package store

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/stand/host"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// Limits of the settings.
const (
	maxRate    = 1_000_000 // rows and objects per second
	maxLatency = time.Minute
)

// Settings are the settings of the store's process.
type Settings struct {
	Address         string         // HOST:PORT to listen on
	WritesPerSecond int            // see Options; 0 for no limit
	ReadsPerSecond  int            // see Options; 0 for no limit
	Latency         model.Duration // latency of each call without a fault
	Faults          []script.Rule  // initial fault script
}

// Check implements host.Settings.
func (s *Settings) Check(c strict.Check) {
	host.CheckListen(c.Field("Address"), s.Address)
	strict.Between(c.Field("WritesPerSecond"), s.WritesPerSecond, 0, maxRate)
	strict.Between(c.Field("ReadsPerSecond"), s.ReadsPerSecond, 0, maxRate)
	model.CheckDuration(c.Field("Latency"), s.Latency, 0, maxLatency)
	script.Check(c.Field("Faults"), s.Faults)
}
