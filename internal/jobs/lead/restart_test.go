package lead_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/host/driver"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

var restartSoakSeeds = flag.Uint64("restartsoak", 10, "seeds of TestSoakOfRestartedWorkers, each in virtual time")

// Guards against overlapping runs of long tasks while workers restart under their IDs, take calls that were meant for their
// former incarnation and are cut off, and the cell changes its leader meanwhile, once or in series.
func TestSoakOfRestartedWorkers(t *testing.T) {
	for seed := range *restartSoakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { soakRestartedWorkers(t, seed) })
		})
	}
}

func soakRestartedWorkers(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := newCluster(ctx, t, seed)
	c.plan = func(wire.Run) runs.Plan {
		return runs.Plan{Size: sizes.Resources{Processors: 100}, RunTime: 9 * time.Second}
	}
	entries := []string{"entry-1", "entry-2", "entry-3"}
	for _, name := range entries {
		c.addEntry(name)
	}
	var hosts []*host
	for i := range 4 {
		hosts = append(hosts, c.addHost(fmt.Sprintf("host-%d", i), 16_000))
	}
	time.Sleep(3 * time.Second)
	c.wg.Go(func() {
		for range 4 {
			c.restartAndCut(ctx, hosts[c.randN(len(hosts))], entries)
		}
	})
	const jobs = 60
	for n := range jobs {
		j := job(n+1, 1, 4)
		j.Steps[0].Size, j.Steps[0].Estimate = sizes.Resources{Processors: 100}, 9000
		c.submitUntil(j)
		time.Sleep(time.Second)
	}
	time.Sleep(20 * time.Second)
	for n := range jobs {
		c.awaitState(job(n+1, 1, 1).ID, rows.Done, 40*time.Second)
	}
	c.checkRuns()
	cancel()
	for _, e := range c.entries {
		<-e.done
	}
	c.wg.Wait()
	time.Sleep(time.Minute) // lets the timers of the workers expire
}

// restartAndCut restarts a worker under its ID, changes the leader, and cuts the worker off, in some cases with its agent.
func (c *cluster) restartAndCut(ctx context.Context, h *host, entries []string) {
	former := driver.PollRequest{Incarnation: h.worker.Incarnation(), Token: 0, Deadline: time.Hour.Milliseconds()}
	h.worker.Restart(wire.WorkerIncarnation{ID: former.Incarnation.ID, StartedAt: former.Incarnation.StartedAt + 1})
	h.starts = int(h.worker.Incarnation().StartedAt)
	_, _ = h.worker.Poll(ctx, former) // its response says that another incarnation has received it
	wait(ctx, time.Duration(500+c.randN(1500))*time.Millisecond)
	withAgent := c.randN(2) == 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range c.randN(4) {
			name := c.leaderName(entries)
			down := time.Duration(c.randN(1500)) * time.Millisecond
			if c.randN(2) == 0 {
				c.kill(name)
				wait(ctx, down)
				c.restart(name)
			} else {
				c.stop(name)
				wait(ctx, down)
				c.addEntry(name)
			}
			wait(ctx, time.Duration(c.randN(3000))*time.Millisecond)
		}
	}()
	wait(ctx, time.Duration(c.randN(1500))*time.Millisecond)
	h.worker.SetCut(true)
	if withAgent {
		c.set(c.isolated, h.name, true)
		c.dropLinks(h.name)
	}
	wait(ctx, time.Duration(5000+c.randN(7000))*time.Millisecond)
	h.worker.SetCut(false)
	c.set(c.isolated, h.name, false)
	<-done
	wait(ctx, 2*time.Second)
}

// leaderName returns the entry that leads, or any if none does.
func (c *cluster) leaderName(entries []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range entries {
		if c.entries[name].leader.Term() != nil {
			return name
		}
	}
	return entries[0]
}
