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

// Defaults and limits of settings.
const (
	defaultLeave   = 2 * time.Second // goal 2 s for a leaving target to receive no new work
	defaultDrain   = 30 * time.Second
	defaultService = 20 * time.Millisecond
	defaultLong    = 5 * time.Second
	maxDuration    = time.Hour
	maxSlots       = 1 << 16
	maxFactor      = 1e4
)

// Settings are the settings of a target's process.
type Settings struct {
	Target      string
	Service     string
	Address     string // listener, HOST:PORT with a host that the agent reaches
	Agent       string // base URL of the agent's listener for announcements
	Slots       int64
	Connections int64 // 0 is the same as Slots
	Times       TimesSettings
	Seed        int64
	Leave       model.Duration // for which Leaving is announced before the listener closes; 2s if absent
	Drain       model.Duration // for which requests in progress may go on after that; 30s if absent
	Faults      []script.Rule
	LogRuns     bool // each run is written to standard error as JSON, so that it is known after the process was killed
}

// TimesSettings are the service times in settings.
type TimesSettings struct {
	Service    model.Duration // 20ms if absent
	Long       model.Duration // 5s if absent
	Jitter     float64
	TailShare  float64
	TailFactor float64
	Paths      []PathSettings
}

// PathSettings is the service time of all paths with a prefix.
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
	setDefault(&t.Service, defaultService)
	setDefault(&t.Long, defaultLong)
	model.CheckDuration(c.Field("Service"), t.Service, 0, maxDuration)
	model.CheckDuration(c.Field("Long"), t.Long, 0, maxDuration)
	strict.Between(c.Field("Jitter"), t.Jitter, 0, 1)
	strict.Between(c.Field("TailShare"), t.TailShare, 0, 1)
	strict.Between(c.Field("TailFactor"), t.TailFactor, 0, maxFactor)
	for i, p := range t.Paths {
		at := c.Field("Paths").Index(i)
		if !strings.HasPrefix(p.Prefix, "/") {
			at.Field("Prefix").Fail(p.Prefix, "a path that starts with /")
		}
		model.CheckDuration(at.Field("Service"), p.Service, 0, maxDuration)
	}
}

func setDefault(d *model.Duration, absent time.Duration) {
	if *d == 0 {
		*d = model.Duration(absent)
	}
}

// Times returns the service times.
func (t TimesSettings) Times() Times {
	out := Times{
		Service: t.Service.Std(), Long: t.Long.Std(), Jitter: t.Jitter, TailShare: t.TailShare, TailFactor: t.TailFactor,
	}
	for _, p := range t.Paths {
		out.Paths = append(out.Paths, PathTime{Prefix: p.Prefix, Service: p.Service.Std()})
	}
	return out
}
