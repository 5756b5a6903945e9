package lead_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// network connects one entry to the agents; it implements lead.Network.
type network struct {
	cluster *cluster
	entry   string
	mu      sync.Mutex
	links   map[string]context.CancelFunc
	wg      sync.WaitGroup
}

func (n *network) Connect(t *lead.Term, a rows.Agent) {
	ctx, cancel := context.WithCancel(n.cluster.ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.links[a.Name]; old != nil {
		old()
	}
	n.links[a.Name] = cancel
	n.wg.Go(func() {
		for ctx.Err() == nil {
			n.cluster.session(ctx, n.entry, a.Name, t)
			wait(ctx, 100*time.Millisecond)
		}
	})
}

func (n *network) Disconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel := n.links[name]; cancel != nil {
		cancel()
		delete(n.links, name)
	}
}

func (n *network) close() {
	n.mu.Lock()
	for _, cancel := range n.links {
		cancel()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// endpoint is one side of a session; messages arrive in order, each after linkDelay.
type endpoint struct {
	entry, host string
	out         chan wire.Message
	closed      chan struct{}
	once        *sync.Once
}

func (e *endpoint) Send(m wire.Message) error {
	select {
	case <-e.closed:
		return errDisconnected
	default:
	}
	b, err := wire.Pack(m)
	if err != nil {
		return err
	}
	if len(b) > frame.MaxPayload {
		return frame.ErrTooLarge
	}
	copied, err := wire.Decode(m.Kind(), b)
	if err != nil {
		return err
	}
	select {
	case e.out <- copied:
		return nil
	default:
		return errDisconnected
	}
}

func (e *endpoint) Close(error) { e.once.Do(func() { close(e.closed) }) }

// session runs a session between an entry and an agent until it is closed.
func (c *cluster) session(ctx context.Context, entryName, hostName string, t *lead.Term) {
	if c.isSet(c.isolated, entryName) || c.isSet(c.isolated, hostName) || c.isSet(c.partitioned, entryName+"/"+hostName) {
		return
	}
	c.mu.Lock()
	h := c.hosts[hostName]
	a := h.agent
	closed, once := make(chan struct{}), &sync.Once{}
	toAgent := &endpoint{entryName, hostName, make(chan wire.Message, 1024), closed, once}
	toTerm := &endpoint{entryName, hostName, make(chan wire.Message, 1024), closed, once}
	h.links = append(h.links, toAgent)
	c.mu.Unlock()
	t.Opened(hostName, toAgent)
	var wg sync.WaitGroup
	wg.Go(func() {
		c.pump(ctx, toAgent, func(m wire.Message) {
			switch m := m.(type) {
			case *wire.LeadAdopt:
				if !a.Adopt(toTerm, m) {
					toTerm.Close(driver.ErrSuperseded)
				}
			case *wire.LeaseGrant:
				a.Grant(toTerm, m)
			case *wire.TaskOrders:
				a.Execute(c.ctx, toTerm, m)
			}
		})
	})
	wg.Go(func() { c.pump(ctx, toTerm, func(m wire.Message) { t.Message(hostName, toAgent, m) }) })
	wg.Wait()
	toAgent.Close(errDisconnected)
	a.LeaderDisconnected(toTerm)
	t.Closed(hostName, toAgent)
}

// pump delivers the messages sent through an endpoint until the session is closed.
func (c *cluster) pump(ctx context.Context, e *endpoint, deliver func(wire.Message)) {
	for {
		select {
		case m := <-e.out:
			delay := linkDelay
			if until, ok := c.held.Load(e.host); ok {
				delay = max(delay, time.Until(until.(time.Time)))
			}
			wait(ctx, delay)
			select {
			case <-e.closed:
				return
			default:
			}
			deliver(m)
		case <-e.closed:
			return
		case <-ctx.Done():
			e.Close(ctx.Err())
			return
		}
	}
}

// noMeter implements lead.Meter and records only withheld starts.
type noMeter struct {
	withheld *atomic.Int64
}

func (noMeter) Takeover()                          {}
func (noMeter) RunStarted(time.Duration, bool)     {}
func (noMeter) RunConfirmed(time.Duration)         {}
func (noMeter) RunEnded(wire.EndCause)             {}
func (noMeter) ReleasedRunFound()                  {}
func (noMeter) ZonesEvacuated(int)                 {}
func (m noMeter) StartWithheld()                   { m.withheld.Add(1) }
func (noMeter) JobEnded(rows.State, time.Duration) {}
func (noMeter) JobBegun(order.Reason)              {}
func (noMeter) JobMovedUp()                        {}
func (noMeter) JobsWaiting(int)                    {}
