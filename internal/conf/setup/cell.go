package setup

import (
	"cmp"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Bounds of the settings of the processes in a cell.
const (
	minLease           = time.Second // of Lease and Grace
	maxLease           = time.Hour   // of Lease and Grace
	minRetention       = time.Second
	maxRetention       = 24 * time.Hour
	minEvacuationBound = 2 * time.Second // leaves time for a poll of the store and for a start
	maxEvacuationBound = time.Minute
	minMemory          = 32      // MiB
	maxMemory          = 1 << 20 // MiB
)

// Values of CellEntry.Admission and CellEntry.Order.
const (
	On  = "on"
	Off = "off"
)

// CellProcess holds the settings that the processes of a cell share.
type CellProcess struct {
	Name             string
	AvailabilityZone string
	Cell             string         // name of the cell, the set of workers and jobs that one leader schedules
	Sessions         string         // HOST:PORT to listen on for sessions of the cell's other processes
	Advertise        string         // HOST:PORT at which others reach Sessions; empty if that is Sessions itself
	Administration   string         // listener for health and metrics; empty for none
	Store            string         // HOST:PORT of the row store
	Key              Secret         // shared key for the handshake of sessions
	Lease            model.Duration // how long a worker continues its runs without a renewal
	Grace            model.Duration // time between SIGTERM and the end of the process
	MemoryMiB        int64          // memory limit of the process in MiB
	Descriptors      int64          // limit of open descriptors; 0 for that of the operating system
	Clients          *Clients       // overrides of the limits for clients; optional
}

// CellEntry holds the settings of a cell's entry.
type CellEntry struct {
	Process   CellProcess
	Callers   string         // listener for callers
	Readiness string         // listener for the platform's readiness checks
	Policies  string         // HOST:PORT of the policy service; empty for none
	Retention model.Duration // how long callers can query a job after its end
	// EvacuationBound is the time after the evacuation of a zone from which nothing may be started there; absent if zones
	// are not evacuated.
	EvacuationBound *model.Duration
	Processors      float64 // processors available to the process; may be a fraction of one
	Admission       string  // On to reject jobs that cannot be done before they have lost all value; empty for Off
	Order           string  // On to order waiting jobs by their cost to callers while capacity is insufficient; empty for Off
}

// CellAgent holds the settings of a cell's agent.
type CellAgent struct {
	Process       CellProcess
	Announcements string // listener for announcements of the worker
	Worker        string // HOST:PORT of the worker
	Service       string // service of the worker; empty for any
}

// LoadCellEntry reads and checks the settings file of a cell's entry; its errors are those of LoadEntry.
func LoadCellEntry(path string) (CellEntry, error) {
	var e CellEntry
	err := load(path, &e, func(c strict.Check, base string) { e.check(c, base) })
	return e, err
}

// LoadCellAgent reads and checks the settings file of a cell's agent; its errors are those of LoadAgent.
func LoadCellAgent(path string) (CellAgent, error) {
	var a CellAgent
	err := load(path, &a, func(c strict.Check, base string) { a.check(c, base) })
	return a, err
}

// PeerAddress returns the address at which the cell's other processes connect to this one.
func (s *CellProcess) PeerAddress() string {
	return cmp.Or(s.Advertise, s.Sessions)
}

func (s *CellProcess) check(c strict.Check, base string) {
	s.applyEnvironment(c)
	model.CheckName(c.Field("Name"), s.Name)
	model.CheckName(c.Field("AvailabilityZone"), s.AvailabilityZone)
	model.CheckName(c.Field("Cell"), s.Cell)
	checkDial(c.Field("Sessions"), s.Sessions, true)
	checkDial(c.Field("Advertise"), s.Advertise, false)
	checkListen(c.Field("Administration"), s.Administration, false)
	checkDial(c.Field("Store"), s.Store, true)
	s.Key.check(c.Field("Key"), base, true)
	model.CheckDuration(c.Field("Lease"), s.Lease, minLease, maxLease)
	model.CheckDuration(c.Field("Grace"), s.Grace, minLease, maxLease)
	if s.MemoryMiB < minMemory || s.MemoryMiB > maxMemory {
		c.Field("MemoryMiB").Fail(s.MemoryMiB, "%d to %d", minMemory, maxMemory)
	}
	checkOverride(c.Field("Descriptors"), s.Descriptors, minDescriptors, maxDescriptors)
	s.Clients.check(c.Field("Clients"), s.Descriptors)
}

func (e *CellEntry) check(c strict.Check, base string) {
	e.applyEnvironment(c)
	e.Process.check(c.Field("Process"), base)
	checkListen(c.Field("Callers"), e.Callers, true)
	checkListen(c.Field("Readiness"), e.Readiness, true)
	checkListeners(c, []listener{
		{"Callers", e.Callers}, {"Readiness", e.Readiness}, {"Process.Sessions", e.Process.Sessions}, {"Process.Administration", e.Process.Administration},
	})
	checkDial(c.Field("Policies"), e.Policies, false)
	model.CheckDuration(c.Field("Retention"), e.Retention, minRetention, maxRetention)
	if e.EvacuationBound != nil {
		model.CheckDuration(c.Field("EvacuationBound"), *e.EvacuationBound, minEvacuationBound, maxEvacuationBound)
	}
	checkSwitch(c.Field("Admission"), e.Admission)
	checkSwitch(c.Field("Order"), e.Order)
	if e.Processors <= 0 {
		c.Field("Processors").Fail(e.Processors, "more than 0")
	}
}

func checkSwitch(at strict.Check, v string) {
	if v != "" && v != On && v != Off {
		at.Fail(v, "%q or %q", On, Off)
	}
}

func (a *CellAgent) check(c strict.Check, base string) {
	a.Process.check(c.Field("Process"), base)
	checkListen(c.Field("Announcements"), a.Announcements, true)
	checkListeners(c, []listener{
		{"Announcements", a.Announcements}, {"Process.Sessions", a.Process.Sessions}, {"Process.Administration", a.Process.Administration},
	})
	checkDial(c.Field("Worker"), a.Worker, true)
}
