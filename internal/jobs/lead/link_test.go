package lead_test

import (
	"context"
	"sync"
	"time"

	"trefoilramp.org/trefoilramp/internal/host/orders"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// network connects one entry to the agents; it implements lead.Network.
type network struct {
	world *world
	entry string
	mu    sync.Mutex
	links map[string]context.CancelFunc
	wg    sync.WaitGroup
}

func (n *network) Connect(t *lead.Term, a rows.Agent) {
	ctx, cancel := context.WithCancel(n.world.ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.links[a.Name]; old != nil {
		old()
	}
	n.links[a.Name] = cancel
	n.wg.Go(func() {
		for ctx.Err() == nil {
			n.world.session(ctx, n.entry, a.Name, t)
			wait(ctx, 100*time.Millisecond)
		}
	})
}

func (n *network) Forget(name string) {
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

// end is one side of a session; messages arrive in order after linkDelay.
type end struct {
	entry, host string
	out         chan wire.Message
	closed      chan struct{}
	once        *sync.Once
}

func (e *end) Send(m wire.Message) error {
	select {
	case <-e.closed:
		return errCut
	default:
	}
	b, err := wire.Pack(m)
	if err != nil {
		return err
	}
	copied, err := wire.Decode(m.Kind(), b)
	if err != nil {
		return err
	}
	select {
	case e.out <- copied:
		return nil
	default:
		return errCut
	}
}

func (e *end) Close(error) { e.once.Do(func() { close(e.closed) }) }

// session runs one session between an entry and an agent until it is closed.
func (w *world) session(ctx context.Context, entryName, hostName string, t *lead.Term) {
	if w.is(w.cut, entryName) || w.is(w.cut, hostName) || w.is(w.apart, entryName+"/"+hostName) {
		return
	}
	w.mu.Lock()
	h := w.hosts[hostName]
	a := h.agent
	closed, once := make(chan struct{}), &sync.Once{}
	toAgent := &end{entryName, hostName, make(chan wire.Message, 1024), closed, once}
	toTerm := &end{entryName, hostName, make(chan wire.Message, 1024), closed, once}
	h.links = append(h.links, toAgent)
	w.mu.Unlock()
	t.Opened(hostName, toAgent)
	var wg sync.WaitGroup
	wg.Go(func() {
		w.pump(ctx, toAgent, func(m wire.Message) {
			switch m := m.(type) {
			case *wire.LeadAdopt:
				if !a.Adopt(toTerm, m) {
					toTerm.Close(orders.ErrSuperseded)
				}
			case *wire.LeaseGrant:
				a.Grant(toTerm, m)
			case *wire.TaskOrders:
				a.Order(w.ctx, toTerm, m)
			}
		})
	})
	wg.Go(func() { w.pump(ctx, toTerm, func(m wire.Message) { t.Message(hostName, toAgent, m) }) })
	wg.Wait()
	toAgent.Close(errCut)
	a.Lost(toTerm)
	t.Closed(hostName, toAgent)
}

// pump delivers what is sent to one side.
func (w *world) pump(ctx context.Context, e *end, deliver func(wire.Message)) {
	for {
		select {
		case m := <-e.out:
			wait(ctx, linkDelay)
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
