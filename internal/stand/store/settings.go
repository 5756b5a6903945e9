package store

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/stand/host"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// Limits of settings.
const (
	maxBudget  = 1_000_000
	maxLatency = time.Minute
)

// Settings are the settings of a store's process.
type Settings struct {
	Address         string // listener
	WritesPerSecond int    // 0 for no bound
	ReadsPerSecond  int    // 0 for no bound
	Latency         model.Duration
	Faults          []script.Rule
}

// Check implements host.Settings.
func (s *Settings) Check(c strict.Check) {
	host.CheckListen(c.Field("Address"), s.Address)
	strict.Between(c.Field("WritesPerSecond"), s.WritesPerSecond, 0, maxBudget)
	strict.Between(c.Field("ReadsPerSecond"), s.ReadsPerSecond, 0, maxBudget)
	model.CheckDuration(c.Field("Latency"), s.Latency, 0, maxLatency)
	script.Check(c.Field("Faults"), s.Faults)
}
