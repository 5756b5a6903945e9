package worker

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/stand/host"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// Limits of the settings.
const (
	maxAmount = 1 << 50 // of each resource
	maxLag    = time.Hour
)

// Settings are the settings of a worker's process.
type Settings struct {
	Worker           string
	AvailabilityZone string
	Rack             string
	Address          string // HOST:PORT to listen on
	Store            string // base URL of the store, for results and checkpoints
	Total            sizes.Resources
	Lag              model.Duration // age of reported usage
	Faults           []script.Rule  // initial fault script
	FailStarts       bool           // every attempt that is started fails immediately
}

// Check implements host.Settings.
func (s *Settings) Check(c strict.Check) {
	model.CheckName(c.Field("Worker"), s.Worker)
	model.CheckName(c.Field("AvailabilityZone"), s.AvailabilityZone)
	model.CheckName(c.Field("Rack"), s.Rack)
	host.CheckListen(c.Field("Address"), s.Address)
	host.CheckURL(c.Field("Store"), s.Store)
	t := c.Field("Total")
	strict.Between(t.Field("Processors"), s.Total.Processors, 1, maxAmount)
	strict.Between(t.Field("Memory"), s.Total.Memory, 1, maxAmount)
	strict.Between(t.Field("Accelerators"), s.Total.Accelerators, 0, maxAmount)
	strict.Between(t.Field("Slots"), s.Total.Slots, 0, maxAmount)
	strict.Between(t.Field("Connections"), s.Total.Connections, 0, maxAmount)
	model.CheckDuration(c.Field("Lag"), s.Lag, 0, maxLag)
	script.Check(c.Field("Faults"), s.Faults)
}
