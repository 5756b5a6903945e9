package lead_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

var soakSeeds = flag.Uint64("soak", 30, "seeds of TestSoak, each in virtual time")

// Guards against overlapping runs of a task, lost jobs, overcommitted workers and starts in evacuated zones while entries,
// agents, workers, sessions and the store fail at random.
func TestSoak(t *testing.T) {
	for seed := range *soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { soak(t, seed, 0, false) }) })
	}
}

var slowSoakSeeds = flag.Uint64("slowsoak", 10, "seeds of TestSoakOverSlowLinks, each in virtual time")

// Guards against the same while each process reads from the store over a slow link, so that a takeover transfers rows for
// longer than the head row may stay unchanged.
func TestSoakOverSlowLinks(t *testing.T) {
	const rate = 1_000 // bytes per second; the rows of all jobs take longer than the leadership lease
	for seed := range *slowSoakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { soak(t, seed, rate, false) }) })
	}
}

var foreignSoakSeeds = flag.Uint64("foreignsoak", 10, "seeds of TestSoakWithForeignAnnouncements, each in virtual time")

// Guards against the same while agents receive announcements of other writers, which a worker in good health was taken to have
// ended for.
func TestSoakWithForeignAnnouncements(t *testing.T) {
	for seed := range *foreignSoakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { soak(t, seed, 0, true) }) })
	}
}

// announceForeign sends the agents announcements of incarnations that their workers never had, or had earlier.
func (c *cluster) announceForeign(ctx context.Context, seed uint64, hosts []*host) {
	random := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		wait(ctx, time.Duration(random.IntN(500))*time.Millisecond)
		h := hosts[random.IntN(len(hosts))]
		s := h.worker.State()
		switch random.IntN(4) {
		case 0:
			s.Incarnation.ID = "foreign"
		case 1:
			s.Incarnation.StartedAt += int64(random.IntN(5)) - 2
		case 2:
			s.Incarnation = wire.WorkerIncarnation{ID: "foreign", StartedAt: 1 << 50}
		case 3:
			n := random.IntN(3)
			s.Incarnation = wire.WorkerIncarnation{ID: fmt.Sprintf("%s-%d", h.name, n), StartedAt: int64(n)}
		}
		c.mu.Lock()
		a := h.agent
		c.mu.Unlock()
		a.Announce(s, random.Uint64())
	}
}

// soak injects faults at random; a rate other than 0 limits the transfer of rows, in bytes per second. Foreign adds announcements
// of other writers.
func soak(t *testing.T, seed uint64, rate int, foreign bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := newCluster(ctx, t, seed)
	c.store.SetRate(rate)
	c.usesEvacuations = true
	if seed%2 == 1 {
		c.policy = order.AllRules()
	}
	c.plan = func(r wire.Run) runs.Plan {
		runTime := 300*time.Millisecond + time.Duration(len(r.Task)*7919%900)*time.Millisecond
		return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: runTime}
	}
	entries := []string{"entry-1", "entry-2", "entry-3"}
	for _, name := range entries {
		c.addEntry(name)
	}
	var hosts []*host
	for i := range 4 {
		hosts = append(hosts, c.addHostIn(soakZones[i%len(soakZones)], fmt.Sprintf("host-%d", i), 4000))
		hosts[i].worker.SetMaxEnds(i) // none, or so many ended runs at a time
	}
	time.Sleep(3 * time.Second)
	go c.injectFaults(ctx, entries, hosts)
	c.wg.Go(func() { c.evacuateAtRandom(ctx, seed) })
	if foreign {
		c.wg.Go(func() { c.announceForeign(ctx, seed, hosts) })
	}
	const jobs = 40
	for n := range jobs {
		c.submitUntil(job(n+1, 1+c.randN(3), 1+c.randN(5)))
		time.Sleep(time.Duration(c.randN(1200)) * time.Millisecond)
	}
	time.Sleep(20 * time.Second) // the last fault has ended, and leases of unreachable workers have expired
	for n := range jobs {
		c.awaitState(job(n+1, 1, 1).ID, rows.Done, 30*time.Second)
	}
	c.checkRuns()
	c.checkEvacuated()
	cancel()
	for _, e := range c.entries {
		<-e.done
	}
	c.wg.Wait()
	time.Sleep(time.Minute) // lets the timers of the workers expire
}

// refusals are the reasons for which a worker refuses commands during a soak.
var refusals = []wire.Refusal{wire.RefusedSick, wire.RefusedSick, wire.RefusedRoom}

var soakZones = []string{"agadir", "bergen"}

// evacuateAtRandom evacuates zones at random, and withdraws the evacuations after 25 seconds.
func (c *cluster) evacuateAtRandom(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	evacuated := make(map[string]bool)
	for began := time.Now(); ctx.Err() == nil; wait(ctx, time.Duration(100+random.IntN(8000))*time.Millisecond) {
		isOver, all := time.Since(began) > 25*time.Second, random.IntN(8) == 0
		for _, z := range soakZones {
			if on := !isOver && (all || evacuated[z] != (random.IntN(2) == 0)); on != evacuated[z] {
				c.evacuate(z, on)
				evacuated[z] = on
			}
		}
		if isOver {
			return
		}
	}
}

// injectFaults injects random faults for 25 seconds.
func (c *cluster) injectFaults(ctx context.Context, entries []string, hosts []*host) {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		e := entries[c.randN(len(entries))]
		h := hosts[c.randN(len(hosts))]
		duration := time.Duration(300+c.randN(4000)) * time.Millisecond
		switch c.randN(9) {
		case 0:
			c.kill(e)
			wait(ctx, duration)
			c.restart(e)
		case 1: // an entry loses the store but still reaches its agents
			c.set(c.storeDown, e, true)
			wait(ctx, duration)
			c.set(c.storeDown, e, false)
		case 2: // an entry is isolated but keeps the store
			c.set(c.isolated, e, true)
			c.dropLinks(e)
			wait(ctx, duration)
			c.set(c.isolated, e, false)
		case 3:
			c.set(c.isolated, h.name, true)
			c.dropLinks(h.name)
			wait(ctx, duration)
			c.set(c.isolated, h.name, false)
		case 4:
			c.startAgent(h)
			wait(ctx, duration/4)
		case 5:
			h.worker.Crash()
			if c.randN(2) == 0 {
				wait(ctx, duration/2)
				c.startWorker(h)
			} else { // restarts at once under the same ID
				wait(ctx, duration/100)
				h.worker.Restart(wire.WorkerIncarnation{ID: h.worker.Incarnation().ID, StartedAt: h.worker.Incarnation().StartedAt + 1})
				h.starts = int(h.worker.Incarnation().StartedAt)
			}
		case 6: // commands to a worker are lost, delayed or refused
			h.worker.SetFaults(func() runs.Fault {
				switch c.randN(6) {
				case 0:
					return runs.Fault{LoseAfter: true}
				case 1, 2:
					return runs.Fault{LoseLate: time.Duration(1+c.randN(8)) * time.Second}
				case 3:
					return runs.Fault{Refuse: refusals[c.randN(len(refusals))]}
				default:
					return runs.Fault{}
				}
			})
			wait(ctx, duration)
			h.worker.SetFaults(nil)
		case 7: // replies of the store are lost or delayed
			c.setFaults(func(string) memory.Fault {
				switch c.randN(4) {
				case 0:
					return memory.Fault{LoseAfter: true}
				case 1:
					return memory.Fault{LoseLate: time.Duration(1+c.randN(3)) * time.Second}
				default:
					return memory.Fault{Slow: 50 * time.Millisecond}
				}
			})
			wait(ctx, duration)
			c.setFaults(nil)
		case 8:
			c.dropLinks(h.name)
			wait(ctx, duration/8)
		}
	}
}

func (c *cluster) setFaults(f func(string) memory.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}
