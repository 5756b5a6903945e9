package setup

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Bounds and default of the kill deadline.
const (
	MinKillDeadline     = time.Second
	MaxKillDeadline     = time.Hour
	DefaultKillDeadline = 30 * time.Second
)

// Entry holds the settings of an entry.
type Entry struct {
	Name             string
	AvailabilityZone string
	Rack             string         // optional
	Callers          string         // listener for callers
	Administration   string         // listener for the administration API
	Console          string         // listener for the console; empty for none
	Sessions         string         // listener for sessions of agents and other entries
	Advertise        string         // HOST:PORT at which others reach Sessions; empty if that is Sessions itself
	Balancer         string         // HOST:PORT of the load balancer in front of the entries; optional
	Store            string         // base URL of the store
	Key              Secret         // shared key for the handshake of sessions
	ReadToken        Secret         // token of operators who may read
	ChangeToken      Secret         // token of operators who may make changes
	TLS              *TLS           // TLS of sessions; absent for plain TCP
	OperatorTLS      *ServerTLS     // TLS of Administration and Console; absent for plain TCP
	KillDeadline     model.Duration // longest drain after a stop signal; 0 means DefaultKillDeadline
	MemoryMiB        int64          // memory limit of the process in MiB; 0 means DefaultMemoryMiB
	Descriptors      int64          // limit of open descriptors; 0 means DefaultDescriptors
	Clients          *Clients       // overrides of the limits for clients; optional
}

// LoadEntry reads and checks the settings file of an entry. The error wraps a *strict.FaultsError unless the file
// cannot be read or is too large.
func LoadEntry(path string) (Entry, error) {
	var e Entry
	err := load(path, &e, func(c strict.Check, base string) { e.check(c, base) })
	return e, err
}

// ParseEntry is like LoadEntry for settings in memory; paths of files are relative to base.
func ParseEntry(b []byte, base string) (Entry, error) {
	var e Entry
	err := parse(b, &e, func(c strict.Check) { e.check(c, base) })
	return e, err
}

func (e *Entry) check(c strict.Check, base string) {
	model.CheckName(c.Field("Name"), e.Name)
	model.CheckName(c.Field("AvailabilityZone"), e.AvailabilityZone)
	checkListen(c.Field("Callers"), e.Callers, true)
	checkListen(c.Field("Administration"), e.Administration, true)
	checkListen(c.Field("Console"), e.Console, false)
	checkListen(c.Field("Sessions"), e.Sessions, true)
	checkDial(c.Field("Advertise"), e.Advertise, false)
	checkDial(c.Field("Balancer"), e.Balancer, false)
	if host, _, ok := splitHostPort(e.Sessions); ok && host == "" && e.Advertise == "" {
		c.Field("Advertise").Missing("%s, since Sessions names no host", allowedDial)
	}
	checkListeners(c, []listener{
		{"Callers", e.Callers}, {"Administration", e.Administration}, {"Console", e.Console}, {"Sessions", e.Sessions},
	})
	checkURL(c.Field("Store"), e.Store, true)
	e.Key.check(c.Field("Key"), base, true)
	e.ReadToken.check(c.Field("ReadToken"), base, true)
	e.ChangeToken.check(c.Field("ChangeToken"), base, true)
	if e.ReadToken.Value != "" && e.ReadToken.Value == e.ChangeToken.Value {
		c.Field("ChangeToken").Fail(redacted, "a token that differs from ReadToken")
	}
	e.TLS.check(c.Field("TLS"), base)
	e.OperatorTLS.check(c.Field("OperatorTLS"), base)
	checkKillDeadline(c.Field("KillDeadline"), &e.KillDeadline)
	checkProcess(c, e.MemoryMiB, e.Descriptors, e.Clients)
}

// checkKillDeadline sets the default if d is 0 and checks the bounds.
func checkKillDeadline(c strict.Check, d *model.Duration) {
	if *d == 0 {
		*d = model.Duration(DefaultKillDeadline)
	}
	model.CheckDuration(c, *d, MinKillDeadline, MaxKillDeadline)
}
