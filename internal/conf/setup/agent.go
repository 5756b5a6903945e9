package setup

import (
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Agent holds the settings of an agent.
type Agent struct {
	Name             string // name of the worker
	AvailabilityZone string
	Rack             string
	Announcements    string         // listener for the announcements of targets
	Administration   string         // listener for health and metrics; empty for none
	Balancer         string         // HOST:PORT of the load balancer in front of the entries
	Worker           string         // base URL of the worker
	Store            string         // base URL of the store, used for objects; optional
	Key              Secret         // shared key for the handshake of sessions
	ReadToken        Secret         // token for reading metrics; optional
	TLS              *TLS           // TLS of sessions; absent for plain TCP
	KillDeadline     model.Duration // longest drain after a stop signal; 0 means DefaultKillDeadline
	MemoryMiB        int64          // memory limit of the process in MiB; 0 means DefaultMemoryMiB
	Descriptors      int64          // limit of open descriptors; 0 means DefaultDescriptors
	Clients          *Clients       // overrides of the limits for clients; optional
}

// LoadAgent reads and checks the settings file of an agent. The error wraps a *strict.FaultsError unless the file
// cannot be read or is too large.
func LoadAgent(path string) (Agent, error) {
	var a Agent
	err := load(path, &a, func(c strict.Check, base string) { a.check(c, base) })
	return a, err
}

// ParseAgent is like LoadAgent for settings in memory; paths of files are relative to base.
func ParseAgent(b []byte, base string) (Agent, error) {
	var a Agent
	err := parse(b, &a, func(c strict.Check) { a.check(c, base) })
	return a, err
}

func (a *Agent) check(c strict.Check, base string) {
	model.CheckName(c.Field("Name"), a.Name)
	model.CheckName(c.Field("AvailabilityZone"), a.AvailabilityZone)
	model.CheckName(c.Field("Rack"), a.Rack)
	checkListen(c.Field("Announcements"), a.Announcements, true)
	checkListen(c.Field("Administration"), a.Administration, false)
	checkListeners(c, []listener{{"Announcements", a.Announcements}, {"Administration", a.Administration}})
	checkDial(c.Field("Balancer"), a.Balancer, true)
	checkURL(c.Field("Worker"), a.Worker, true)
	checkURL(c.Field("Store"), a.Store, false)
	a.Key.check(c.Field("Key"), base, true)
	a.ReadToken.check(c.Field("ReadToken"), base, false)
	a.TLS.check(c.Field("TLS"), base)
	checkKillDeadline(c.Field("KillDeadline"), &a.KillDeadline)
	checkProcess(c, a.MemoryMiB, a.Descriptors, a.Clients)
}
