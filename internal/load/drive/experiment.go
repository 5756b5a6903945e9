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

// Limits of an experiment; they keep a measurement bounded on a shared machine.
const (
	MaxDuration  = 30 * time.Minute
	MaxRequests  = 1_000_000
	MaxInFlight  = 4096
	maxRate      = 20_000 // requests/s of a service before swings
	maxFactor    = 100
	maxBody      = 4 << 20 // bytes of a request
	maxServices  = 32
	maxIntervals = 3600
	maxSlowdown  = 1000
	maxJobs      = 1000 // of a wave
	maxJobPrefix = 40   // bytes, which leaves room for the parts that make it unique
)

// Defaults of an experiment.
const (
	defaultInterval    = time.Second
	defaultPatience    = 2 * time.Second
	defaultMaxInFlight = 1024
)

// Experiment describes a run of the load generator.
type Experiment struct {
	Name        string
	Entries     []string // callers' listeners of entries, loopback IP addresses with ports
	Seed        int64
	Duration    model.Duration
	MaxRequests int            // an experiment with more arrivals is refused
	MaxInFlight int            // requests in flight at one time; arrivals above it are counted as NotSent; 1024 if absent
	Interval    model.Duration // of the report's series; 1s if absent
	Patience    model.Duration // time after its deadline for which an answer is awaited; 2s if absent
	Services    []Service
	Noise       []Noise
	Jobs        *Jobs
	System      *System `json:",omitempty"` // what load --demo starts; unused otherwise
}

// Service is the load on one service.
type Service struct {
	Name     string
	Rate     float64 // requests/s without swings
	Deadline model.Duration
	Requests []Request
	Swings   []Swing
}

// Request is one kind of request in the mix of a service.
type Request struct {
	Name       string
	Weight     float64
	Method     string
	Path       string         // below /services/{name}, with query
	Body       int            // bytes
	Deadline   model.Duration // that of the service if absent
	Key        bool           // sends an Idempotency-Key
	Idempotent string         // true or false for the header Trefoilramp-Idempotent; none if absent
	Stream     model.Duration // keeps the response open for this time; the latency is that of its first byte
}

// Swing multiplies the rate of a service: it rises to Factor within Over, stays for For, and falls back within Over.
type Swing struct {
	At     model.Duration
	Over   model.Duration
	For    model.Duration
	Factor float64
}

// Noise slows down target stand-ins for a time, as noisy tasks on their instances do.
type Noise struct {
	At       model.Duration
	For      model.Duration
	Slowdown float64
	Targets  []string // base URLs of target stand-ins
}

// Jobs submits batch jobs during the run.
type Jobs struct {
	Administration string // base URL of an entry's administration listener
	TokenFile      string // file with the token
	Waves          []JobWave
}

// JobWave submits Count copies of a job, Every apart.
type JobWave struct {
	At    model.Duration
	Every model.Duration
	Count int
	Job   admin.JobRequest // Job.Job is a prefix of the identities
}

// Parse reads and checks an experiment and fills in defaults; the error is a *strict.FaultsError with every fault.
func Parse(b []byte) (Experiment, error) {
	var e Experiment
	faults := strict.Decode(b, &e)
	for _, f := range faults {
		if f.Path == "$" { // nothing was read, so that further faults would only mislead
			return e, faults.Err()
		}
	}
	c := strict.NewCheck()
	e.Check(c)
	return e, faults.Merge(c.Faults()).Err()
}

// Check records every fault and fills in defaults.
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

// CheckEntries fails unless the list has entries that are loopback addresses with ports.
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

// isLoopback accepts no host names, since a name could lead to another machine.
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
		c.Field("TokenFile").Missing("a file with the token")
	}
	for i, w := range j.Waves {
		at := c.Field("Waves").Index(i)
		checkTime(at.Field("At"), w.At)
		checkTime(at.Field("Every"), w.Every)
		strict.Between(at.Field("Count"), w.Count, 1, maxJobs)
		model.CheckName(at.Field("Job").Field("Job"), w.Job.Job)
		strict.Between(at.Field("Job").Field("Job").Field("Length"), len(w.Job.Job), 1, maxJobPrefix)
		if w.Job.Command == "" {
			at.Field("Job").Field("Command").Missing("a command")
		}
	}
}

func checkTime(c strict.Check, d model.Duration) { model.CheckDuration(c, d, 0, MaxDuration) }

func setDefault(d *model.Duration, absent time.Duration) {
	if *d == 0 {
		*d = model.Duration(absent)
	}
}
