package queues

import (
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Queue holds the settings of a queue, which accepts jobs under a host and path prefix and sends their tasks to one
// service.
type Queue struct {
	Name        string
	Host        string
	Prefix      string // path prefix; starts with a slash
	Service     string
	Priority    int           // 0 is the highest
	MaxAttempts int           // failed runs of a task after which its job fails
	Stretch     float64       // factor of a job's run time in its completion target; below 1 counts as 1
	Objective   time.Duration // time added to the stretched run time in the completion target
	Timeout     time.Duration // limit of a caller's request; 0 for none
	Advice      *Advice       // nil when any worker of the service may run the tasks
}

// Advice holds the timing of the policy service that restricts which workers may run a queue's tasks.
type Advice struct {
	BaseLatency      time.Duration // base response time of the policy service
	LatencyPerWorker time.Duration // additional response time per worker in a request
	TicketLifetime   time.Duration // validity of a ticket
}

// Service holds the settings of a pool of workers.
type Service struct {
	Name             string
	HealthPath       string
	AdmissionControl bool // its workers reject requests beyond their capacity
	Spare            bool // its machines are powered off
}

// Limits holds the limits for callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Table is an immutable index of a document for lookups.
type Table struct {
	Document Document
	byHost   map[string][]*Queue // longest prefix first
	byName   map[string]*Queue
	services map[string]*Service
}

// NewTable returns the lookup table of d, or an error when a queue lacks a name or a prefix that starts with a slash.
func NewTable(d Document) (*Table, error) {
	t := &Table{
		Document: d, byHost: make(map[string][]*Queue), byName: make(map[string]*Queue),
		services: make(map[string]*Service),
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Queues {
		q := &d.Queues[i]
		if q.Name == "" || !strings.HasPrefix(q.Prefix, "/") {
			return nil, errors.Newf("queue %q has no name or no leading slash in its prefix %q", q.Name, q.Prefix)
		}
		host := strings.ToLower(q.Host)
		t.byHost[host] = append(t.byHost[host], q)
		t.byName[q.Name] = q
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t, nil
}

// Match returns the queue with the longest prefix that matches a request, and the rest of the path after the prefix.
func (t *Table) Match(host, path string) (q *Queue, rest string, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, q := range t.byHost[strings.ToLower(host)] {
		if rest, found := strings.CutPrefix(path, q.Prefix); found {
			return q, rest, true
		}
	}
	return nil, "", false
}

// Queue returns the queue with the given name.
func (t *Table) Queue(name string) (*Queue, bool) {
	q, ok := t.byName[name]
	return q, ok
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
