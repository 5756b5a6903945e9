package queues

import (
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Queue accepts jobs under a host and a path prefix and sends their tasks to one service.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int // 0 comes first
	MaxAttempts int // failed runs of a task after which its job has failed
	Stretch     float64
	Objective   time.Duration // added to the stretched run time of a job
	Timeout     time.Duration // of a caller's request; 0 for none
	Advice      *Advice       // nil when any worker of the service may run the tasks
}

// Advice describes the policy service that restricts the workers of a queue.
type Advice struct {
	Decide time.Duration // base time of an answer
	Each   time.Duration // additional time for each worker named
	Valid  time.Duration // life of a ticket
}

// Service is a pool of workers.
type Service struct {
	Name       string
	HealthPath string
	Guarded    bool // its workers refuse what exceeds their capacity
	Spare      bool // its machines are switched off
}

// Limits bound what a caller may send.
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

// Table is a document prepared for lookups; it is immutable.
type Table struct {
	Document Document
	byHost   map[string][]*Queue // longest prefix first
	byName   map[string]*Queue
	services map[string]*Service
}

// NewTable checks d and returns its lookup table.
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
			return nil, errors.Newf("queue %q has the prefix %q, which does not begin with a slash", q.Name, q.Prefix)
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

// Match returns the queue of a request and the rest of its path after the prefix.
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

// Queue returns the queue of a name.
func (t *Table) Queue(name string) (*Queue, bool) {
	q, ok := t.byName[name]
	return q, ok
}

// Service returns the service of a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
