package target

import (
	"math"
	"strings"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/stand/host"
	"trefoilramp.org/trefoilramp/internal/stand/script"
)

// Defaults and limits of the settings.
const (
	defaultLeave       = 2 * time.Second // the goal is that a leaving target receives no new requests after 2 s
	defaultDrain       = 30 * time.Second
	defaultServiceTime = 20 * time.Millisecond
	defaultLongTime    = 5 * time.Second
	maxDuration        = time.Hour
	maxSlots           = 1 << 16
	maxFactor          = 1e4
)

// Settings are the settings of a target's process.
type Settings struct {
	Target      string
	Service     string
	Address     string // HOST:PORT to listen on; the agent must be able to reach HOST
	Agent       string // base URL of the agent's listener for announcements
	Slots       int64
	Connections int64 // 0 means Slots
	Times       TimesSettings
	Seed        int64          // see Options
	Leave       model.Duration // how long Leaving is announced before the listener closes; 2s if absent
	Drain       model.Duration // how long requests in progress may continue after that; 30s if absent
	Faults      []script.Rule  // initial fault script
	LogRuns     bool           // write each run to standard error as JSON, so that it survives a kill of the process
}

// TimesSettings is the form of Times in settings.
type TimesSettings struct {
	Service    model.Duration // 20ms if absent
	Long       model.Duration // 5s if absent
	Jitter     float64
	TailShare  float64
	TailFactor float64
	Paths      []PathSettings
}

// PathSettings is the form of PathTime in settings.
type PathSettings struct {
	Prefix  string
	Service model.Duration
}

// Check implements host.Settings.
func (s *Settings) Check(c strict.Check) {
	model.CheckName(c.Field("Target"), s.Target)
	model.CheckName(c.Field("Service"), s.Service)
	host.CheckListen(c.Field("Address"), s.Address)
	host.CheckURL(c.Field("Agent"), s.Agent)
	strict.Between(c.Field("Slots"), s.Slots, 1, maxSlots)
	if s.Connections == 0 {
		s.Connections = s.Slots
	}
	strict.Between(c.Field("Connections"), s.Connections, s.Slots, max(s.Slots, maxSlots))
	strict.Between(c.Field("Seed"), s.Seed, 0, math.MaxInt64)
	setDefault(&s.Leave, defaultLeave)
	setDefault(&s.Drain, defaultDrain)
	model.CheckDuration(c.Field("Leave"), s.Leave, 0, maxDuration)
	model.CheckDuration(c.Field("Drain"), s.Drain, 0, maxDuration)
	s.Times.check(c.Field("Times"))
	script.Check(c.Field("Faults"), s.Faults)
}

func (t *TimesSettings) check(c strict.Check) {
	setDefault(&t.Service, defaultServiceTime)
	setDefault(&t.Long, defaultLongTime)
	model.CheckDuration(c.Field("Service"), t.Service, 0, maxDuration)
	model.CheckDuration(c.Field("Long"), t.Long, 0, maxDuration)
	strict.Between(c.Field("Jitter"), t.Jitter, 0, 1)
	strict.Between(c.Field("TailShare"), t.TailShare, 0, 1)
	strict.Between(c.Field("TailFactor"), t.TailFactor, 0, maxFactor)
	for i, p := range t.Paths {
		pathCheck := c.Field("Paths").Index(i)
		if !strings.HasPrefix(p.Prefix, "/") {
			pathCheck.Field("Prefix").Fail(p.Prefix, "a path that starts with /")
		}
		model.CheckDuration(pathCheck.Field("Service"), p.Service, 0, maxDuration)
	}
}

// setDefault sets *d to def if it is absent.
func setDefault(d *model.Duration, def time.Duration) {
	if *d == 0 {
		*d = model.Duration(def)
	}
}

// Times returns the service times for Options.
func (t TimesSettings) Times() Times {
	out := Times{
		Service: t.Service.Std(), Long: t.Long.Std(), Jitter: t.Jitter, TailShare: t.TailShare, TailFactor: t.TailFactor,
	}
	for _, p := range t.Paths {
		out.Paths = append(out.Paths, PathTime{Prefix: p.Prefix, Service: p.Service.Std()})
	}
	return out
}
