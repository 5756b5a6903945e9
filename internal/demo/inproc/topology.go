package inproc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/netsim"
	"trefoilramp.org/trefoilramp/internal/stand/target"
)

// Topology describes the zones, workers, links and services of a system.
type Topology struct {
	Zones     []Zone
	Each      sizes.Resources // of every worker
	LinkDelay time.Duration   // one-way delay between zones; 0 connects them without a relay
	Services  []Service       // each has one target on every worker
	Document  model.Document
}

// Service is a service and the service times of its targets.
type Service struct {
	Name  string
	Times target.Times
}

// Demonstration returns the topology of the plain demonstration.
func Demonstration() Topology {
	return Topology{
		Zones: Zones(), Each: WorkerResources(), Document: Document(),
		Services: []Service{{ServiceName, target.Times{
			Service: 5 * time.Millisecond, Long: 300 * time.Millisecond, Jitter: 0.2,
		}}},
	}
}

func (t Topology) partitions() int {
	n := 0
	for _, z := range t.Document.AvailabilityZones {
		n += int(z.Partitions)
	}
	return n
}

// links delays the connections between zones. It uses one relay for each pair of a zone and an entry outside it.
type links struct {
	ctx   context.Context
	delay time.Duration
	log   *zap.Logger

	mu     sync.Mutex
	zones  map[string]string // zone of each entry, by address
	relays map[string]*netsim.Relay
}

func newLinks(ctx context.Context, delay time.Duration, log *zap.Logger) *links {
	return &links{
		ctx: ctx, delay: delay, log: log, zones: make(map[string]string), relays: make(map[string]*netsim.Relay),
	}
}

func (l *links) add(address, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones[address] = zone
}

// routeFrom returns the function that maps the address of an entry to the address that a process in zone dials; nil
// means no mapping.
func (l *links) routeFrom(zone string) func(address string) string {
	if l.delay == 0 {
		return nil
	}
	return func(address string) string {
		l.mu.Lock()
		defer l.mu.Unlock()
		to, ok := l.zones[address]
		if !ok || to == zone {
			return address
		}
		key := fmt.Sprintf("%s>%s", zone, address)
		if r, ok := l.relays[key]; ok {
			return r.Address()
		}
		r, err := netsim.New(l.ctx, address)
		if err != nil {
			l.log.Error("cannot open a relay; the link has no delay", zap.String("Link", key), zap.Error(err))
			return address
		}
		r.SetDelay(netsim.Both, l.delay, 0)
		l.relays[key] = r
		return r.Address()
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.relays {
		r.Close()
	}
}

// Zone returns the workers of a zone.
func (s *System) Zone(name string) []*Worker {
	var list []*Worker
	for _, w := range s.Workers {
		if w.Zone == name {
			list = append(list, w)
		}
	}
	return list
}
