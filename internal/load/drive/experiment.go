package drive

import (
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// Limits of an experiment. They bound the time and the load that a run puts on a shared machine.
const (
	MaxDuration  = 30 * time.Minute // also limits each offset and duration within a run
	MaxRequests  = 1_000_000        // arrivals per run
	MaxInFlight  = 4096             // concurrent requests
	maxRate      = 20_000           // requests/s per service, without swings
	maxFactor    = 100              // rate multiplier of a swing
	maxBody      = 4 << 20          // bytes per request body
	maxServices  = 32               // also limits the kinds of requests per service
	maxIntervals = 3600             // points in a report's series
	maxSlowdown  = 1000             // multiplier of service times
	maxWaveJobs  = 1000             // jobs per wave
	maxJobPrefix = 40               // bytes; the rest of the ID is a suffix that makes it unique
)

// Default values of the optional settings of an experiment.
const (
	defaultInterval    = time.Second
	defaultPatience    = 2 * time.Second
	defaultMaxInFlight = 1024
)

// Experiment configures a run of the load generator.
type Experiment struct {
	Name        string
	Entries     []string // caller-facing addresses of entries, each a loopback IP with a port
	Seed        int64
	Duration    model.Duration
	MaxRequests int            // an experiment with more arrivals is rejected
	MaxInFlight int            // concurrent requests; arrivals above it are recorded as NotSent; 1024 if absent
	Interval    model.Duration // resolution of the report's series; 1s if absent
	Patience    model.Duration // how long to wait for a response after its deadline; 2s if absent
	Services    []Service
	Noise       []Noise
	Jobs        *Jobs
	System      *System `json:",omitempty"` // started by load --demo, ignored otherwise
}

// Service configures the load on one service.
type Service struct {
	Name     string
	Rate     float64        // requests/s outside of swings
	Deadline model.Duration // from the scheduled arrival
	Requests []Request
	Swings   []Swing
}

// Request configures one kind of request in the mix of a service.
type Request struct {
	Name       string
	Weight     float64 // share of the mix, relative to the other weights
	Method     string
	Path       string         // relative to /services/{name}, may include a query
	Body       int            // body size in bytes
	Deadline   model.Duration // the service's deadline if absent
	Key        bool           // send an Idempotency-Key header
	Idempotent string         // "true" or "false" for the header Trefoilramp-Idempotent; no header if empty
	Stream     model.Duration // read the response for this long; latency is then the time to first byte
}

// Swing changes the rate of a service for a time: from At the multiplier ramps from 1 to Factor over the duration Over,
// stays at Factor for the duration For, and ramps back to 1 over the duration Over.
type Swing struct {
	At     model.Duration
	Over   model.Duration
	For    model.Duration
	Factor float64
}

// Noise multiplies the service times of target stand-ins for a time, to simulate interference from other tasks on their
// instances.
type Noise struct {
	At       model.Duration
	For      model.Duration
	Slowdown float64
	Targets  []string // base URLs of target stand-ins
}

// Jobs configures the batch jobs that are submitted during a run.
type Jobs struct {
	Administration string // base URL of an entry's administration listener
	TokenFile      string // file with the token of the administration API
	Waves          []JobWave
}

// JobWave configures a burst of Count copies of a job, submitted at intervals of Every from At.
type JobWave struct {
	At    model.Duration
	Every model.Duration
	Count int
	Job   admin.JobRequest // Job.Job is the prefix of the job IDs
}

// Parse decodes and validates an experiment and sets defaults; the error is a *strict.FaultsError with all faults.
func Parse(b []byte) (Experiment, error) {
	var e Experiment
	faults := strict.Decode(b, &e)
	for _, f := range faults {
		if f.Path == "$" { // nothing was decoded, so checks of single fields would mislead
			return e, faults.Err()
		}
	}
	c := strict.NewCheck()
	e.Check(c)
	return e, faults.Merge(c.Faults()).Err()
}

// Check sets defaults and records all faults of the experiment in c.
func (e *Experiment) Check(c strict.Check) {
	if e.MaxInFlight == 0 {
		e.MaxInFlight = defaultMaxInFlight
	}
	setDefault(&e.Interval, defaultInterval)
	setDefault(&e.Patience, defaultPatience)
	model.CheckName(c.Field("Name"), e.Name)
	CheckEntries(c.Field("Entries"), e.Entries)
	model.CheckDuration(c.Field("Duration"), e.Duration, time.Millisecond, MaxDuration)
	strict.Between(c.Field("MaxRequests"), e.MaxRequests, 1, MaxRequests)
	strict.Between(c.Field("MaxInFlight"), e.MaxInFlight, 1, MaxInFlight)
	model.CheckDuration(c.Field("Interval"), e.Interval, max(time.Millisecond, e.Duration.Std()/maxIntervals), MaxDuration)
	model.CheckDuration(c.Field("Patience"), e.Patience, 0, time.Minute)
	strict.Between(c.Field("Services"), len(e.Services), 1, maxServices)
	for i := range e.Services {
		e.Services[i].check(c.Field("Services").Index(i))
	}
	for i, n := range e.Noise {
		n.check(c.Field("Noise").Index(i))
	}
	if e.Jobs != nil {
		e.Jobs.check(c.Field("Jobs"))
	}
	if e.System != nil {
		e.System.check(c.Field("System"))
	}
}

// CheckEntries records a fault if the list is empty, and one for each address that is not a loopback IP with a port.
func CheckEntries(c strict.Check, list []string) {
	const allowed = "a loopback IP address with a port, for example 127.0.0.1:7001"
	if len(list) == 0 {
		c.Missing("a list of addresses, each %s", allowed)
	}
	for i, s := range list {
		if !isLoopback(s) {
			c.Index(i).Fail(s, allowed)
		}
	}
}

// isLoopback reports whether address is a loopback IP address with a port. Host names are rejected, because a name may
// resolve to another machine.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback() && a.Port() != 0
}

func checkLoopbackURL(c strict.Check, s string) {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || !isLoopback(u.Host) || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		c.Fail(s, "an http URL of a loopback IP address with a port, for example http://127.0.0.1:7001")
	}
}

func (s *Service) check(c strict.Check) {
	model.CheckName(c.Field("Name"), s.Name)
	strict.Between(c.Field("Rate"), s.Rate, 0.001, maxRate)
	model.CheckDuration(c.Field("Deadline"), s.Deadline, model.MinDeadline, model.MaxDeadline)
	strict.Between(c.Field("Requests"), len(s.Requests), 1, maxServices)
	for i := range s.Requests {
		s.Requests[i].check(c.Field("Requests").Index(i), s.Deadline)
	}
	for i, w := range s.Swings {
		at := c.Field("Swings").Index(i)
		checkTime(at.Field("At"), w.At)
		checkTime(at.Field("Over"), w.Over)
		checkTime(at.Field("For"), w.For)
		strict.Between(at.Field("Factor"), w.Factor, 0, maxFactor)
	}
}

func (r *Request) check(c strict.Check, deadline model.Duration) {
	setDefault(&r.Deadline, deadline.Std())
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	model.CheckName(c.Field("Name"), r.Name)
	strict.Between(c.Field("Weight"), r.Weight, 0.001, 1e6)
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch}
	if !slices.Contains(methods, r.Method) {
		c.Field("Method").Fail(r.Method, "one of %s", strings.Join(methods, ", "))
	}
	if _, err := url.ParseRequestURI(r.Path); err != nil || !strings.HasPrefix(r.Path, "/") {
		c.Field("Path").Fail(r.Path, "a path that starts with /")
	}
	strict.Between(c.Field("Body"), r.Body, 0, maxBody)
	if r.Deadline != deadline {
		model.CheckDuration(c.Field("Deadline"), r.Deadline, model.MinDeadline, model.MaxDeadline)
	}
	if !slices.Contains([]string{"", "true", "false"}, r.Idempotent) {
		c.Field("Idempotent").Fail(r.Idempotent, "true or false as a string")
	}
	checkTime(c.Field("Stream"), r.Stream)
}

func (n Noise) check(c strict.Check) {
	checkTime(c.Field("At"), n.At)
	checkTime(c.Field("For"), n.For)
	strict.Between(c.Field("Slowdown"), n.Slowdown, 0.01, maxSlowdown)
	for i, s := range n.Targets {
		checkLoopbackURL(c.Field("Targets").Index(i), s)
	}
}

func (j *Jobs) check(c strict.Check) {
	checkLoopbackURL(c.Field("Administration"), j.Administration)
	if j.TokenFile == "" {
		c.Field("TokenFile").Missing("the path of a file with the token")
	}
	for i, w := range j.Waves {
		at := c.Field("Waves").Index(i)
		checkTime(at.Field("At"), w.At)
		checkTime(at.Field("Every"), w.Every)
		strict.Between(at.Field("Count"), w.Count, 1, maxWaveJobs)
		model.CheckName(at.Field("Job").Field("Job"), w.Job.Job)
		strict.Between(at.Field("Job").Field("Job").Field("Length"), len(w.Job.Job), 1, maxJobPrefix)
		if w.Job.Command == "" {
			at.Field("Job").Field("Command").Missing("a command")
		}
	}
}

func checkTime(c strict.Check, d model.Duration) { model.CheckDuration(c, d, 0, MaxDuration) }

func setDefault(d *model.Duration, value time.Duration) {
	if *d == 0 {
		*d = model.Duration(value)
	}
}
