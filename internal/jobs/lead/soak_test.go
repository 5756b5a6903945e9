package lead_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

var soakSeeds = flag.Uint64("soak", 30, "seeds of TestSoak, each in virtual time")

// Guards against runs of a task that overlap, lost jobs and overfilled workers while entries, agents, workers, links and
// the store fail at random.
func TestSoak(t *testing.T) {
	for seed := range *soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { soak(t, seed) }) })
	}
}

func soak(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := newWorld(ctx, t, seed)
	w.plan = func(r wire.Run) runs.Plan {
		takes := 300*time.Millisecond + time.Duration(len(r.Task)*7919%900)*time.Millisecond
		return runs.Plan{Size: sizes.Resources{Processors: 1000}, Takes: takes}
	}
	entries := []string{"entry-1", "entry-2", "entry-3"}
	for _, name := range entries {
		w.addEntry(name)
	}
	var hosts []*host
	for i := range 4 {
		hosts = append(hosts, w.addHost(fmt.Sprintf("host-%d", i), 4000))
	}
	time.Sleep(3 * time.Second)
	go w.disturb(ctx, entries, hosts)
	const jobs = 40
	for n := range jobs {
		w.submitUntil(job(n+1, 1+w.draw(3), 1+w.draw(5)))
		time.Sleep(time.Duration(w.draw(1200)) * time.Millisecond)
	}
	time.Sleep(20 * time.Second) // the last fault has ended, and leases of lost workers have lapsed
	for n := range jobs {
		w.awaitState(job(n+1, 1, 1).ID, rows.Done, 30*time.Second)
	}
	w.checkRuns()
	cancel()
	for _, e := range w.entries {
		<-e.done
	}
	w.wg.Wait()
	time.Sleep(time.Minute) // timers of the workers end
}

// disturb plays random faults for 25 seconds.
func (w *world) disturb(ctx context.Context, entries []string, hosts []*host) {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		e := entries[w.draw(len(entries))]
		h := hosts[w.draw(len(hosts))]
		lasts := time.Duration(300+w.draw(4000)) * time.Millisecond
		switch w.draw(9) {
		case 0:
			w.kill(e)
			wait(ctx, lasts)
			w.revive(e)
		case 1: // the store turns an entry away, which goes on to reach its agents
			w.set(w.deaf, e, true)
			wait(ctx, lasts)
			w.set(w.deaf, e, false)
		case 2: // an entry is cut off and goes on
			w.set(w.cut, e, true)
			w.dropLinks(e)
			wait(ctx, lasts)
			w.set(w.cut, e, false)
		case 3:
			w.set(w.cut, h.name, true)
			w.dropLinks(h.name)
			wait(ctx, lasts)
			w.set(w.cut, h.name, false)
		case 4:
			w.startAgent(h)
			wait(ctx, lasts/4)
		case 5:
			h.worker.Crash()
			wait(ctx, lasts/2)
			w.beginLife(h)
		case 6: // orders are lost or late
			h.worker.SetFaults(func() runs.Fault {
				switch w.draw(4) {
				case 0:
					return runs.Fault{Lose: true}
				case 1:
					return runs.Fault{Late: time.Duration(1+w.draw(4)) * time.Second}
				default:
					return runs.Fault{}
				}
			})
			wait(ctx, lasts)
			h.worker.SetFaults(nil)
		case 7: // answers of the store are lost or late
			w.setFaults(func(string) memory.Fault {
				switch w.draw(4) {
				case 0:
					return memory.Fault{Lose: true}
				case 1:
					return memory.Fault{Late: time.Duration(1+w.draw(3)) * time.Second}
				default:
					return memory.Fault{Slow: 50 * time.Millisecond}
				}
			})
			wait(ctx, lasts)
			w.setFaults(nil)
		case 8:
			w.dropLinks(h.name)
			wait(ctx, lasts/8)
		}
	}
}

func (w *world) setFaults(f func(string) memory.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}
