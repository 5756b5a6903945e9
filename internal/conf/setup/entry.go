package setup

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Limits and default of the kill deadline.
const (
	MinKillDeadline     = time.Second
	MaxKillDeadline     = time.Hour
	DefaultKillDeadline = 30 * time.Second
)

// Entry holds the settings of an entry.
type Entry struct {
	Name             string
	AvailabilityZone string
	Rack             string     // optional
	Callers          string     // listener for callers
	Administration   string     // listener for the administration API
	Console          string     // listener for the console; empty for none
	Sessions         string     // listener for sessions of agents and other entries
	Advertise        string     // address of Sessions as others reach it; empty when that is Sessions itself
	Balancer         string     // through which agents reach any entry; optional
	Store            string     // base URL of the store
	Key              Secret     // shared key of the handshake
	ReadToken        Secret     // token of the reading role
	ChangeToken      Secret     // token of the changing role
	TLS              *TLS       // of sessions; absent for plain TCP
	OperatorTLS      *ServerTLS // of Administration and Console; absent for plain TCP
	KillDeadline     model.Duration
}

// LoadEntry reads and checks the settings file of an entry; the error is a *strict.FaultsError or that of reading.
func LoadEntry(path string) (Entry, error) {
	var e Entry
	err := load(path, &e, func(c strict.Check, base string) { e.check(c, base) })
	return e, err
}

// ParseEntry is LoadEntry for settings in memory; files are relative to base.
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
	if host, _, ok := split(e.Sessions); ok && host == "" && e.Advertise == "" {
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
		c.Field("ChangeToken").Fail(redacted, "another token than ReadToken")
	}
	e.TLS.check(c.Field("TLS"), base)
	e.OperatorTLS.check(c.Field("OperatorTLS"), base)
	checkKillDeadline(c.Field("KillDeadline"), &e.KillDeadline)
}

func checkKillDeadline(c strict.Check, d *model.Duration) {
	if *d == 0 {
		*d = model.Duration(DefaultKillDeadline)
	}
	model.CheckDuration(c, *d, MinKillDeadline, MaxKillDeadline)
}
