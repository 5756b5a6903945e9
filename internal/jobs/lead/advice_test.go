package lead_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// policy is a lead.Advisor that allows some workers to run any step.
type policy struct {
	allowed []string // IDs of incarnations
	calls   atomic.Int64
}

const (
	adviceTime = 80 * time.Millisecond
	ticketTime = 3 * time.Second
)

func (p *policy) Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error) {
	p.calls.Add(1)
	wait(ctx, adviceTime)
	tickets := make(map[string]string)
	for _, w := range workers {
		if slices.Contains(p.allowed, w) {
			tickets[w] = step + w
		}
	}
	return tickets, ticketTime, nil
}

// withPolicy runs f in virtual time with an entry and 70 workers of which the policy allows some. The workers with the lowest
// names have the most free processors.
func withPolicy(t *testing.T, allowed []int, f func(c *cluster, p *policy)) {
	t.Helper()
	inCluster(t, func(c *cluster) {
		p := &policy{}
		for _, n := range allowed {
			p.allowed = append(p.allowed, fmt.Sprintf("host-%02d-1", n))
		}
		c.advisor = p
		c.addEntry("entry-1")
		for n := range 70 {
			c.addHost(fmt.Sprintf("host-%02d", n), int64(8000-50*n))
		}
		time.Sleep(3 * time.Second)
		f(c, p)
	})
}

func advisedJob(n, count int) *spec.Job {
	j := job(n, 1, count)
	j.Advised = true
	return j
}

// Guards against a job that never starts: the leader asked the policy service about the same workers again and again, those
// with the most free processors, while others might run the job.
func TestAdviceNamesAllWorkers(t *testing.T) {
	withPolicy(t, []int{68, 69}, func(c *cluster, _ *policy) {
		j := advisedJob(1, 2)
		c.submit(j)
		c.awaitState(j.ID, rows.Done, 3*time.Second) // three requests before a run of 1 s
	})
}

// Guards against a job that waits for the workers of the first reply although others may run it and have a place.
func TestAdviceWhileAllowedWorkersAreFull(t *testing.T) {
	withPolicy(t, []int{0, 69}, func(c *cluster, _ *policy) {
		long := advisedJob(1, 1)
		long.Steps[0].Size = sizes.Resources{Processors: 8000}
		c.plan = func(r wire.Run) runs.Plan {
			if strings.HasPrefix(r.Task, string(long.ID)) {
				return runs.Plan{Size: long.Steps[0].Size, RunTime: time.Minute}
			}
			return runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: time.Second}
		}
		c.submit(long)
		time.Sleep(time.Second)
		j := advisedJob(2, 2)
		c.submit(j)
		c.awaitState(j.ID, rows.Done, 3*time.Second)
	})
}

// Guards against requests without end about a step that no worker may run, and against an added worker that is not named.
func TestAdviceWithoutAllowedWorkers(t *testing.T) {
	withPolicy(t, []int{70}, func(c *cluster, p *policy) {
		j := advisedJob(1, 1)
		c.submit(j)
		time.Sleep(12 * time.Second)
		if n := p.calls.Load(); n < 3 || n > 15 {
			t.Errorf("%d requests in 12 s about 70 workers, at most 30 at a time; want 3 to 15", n)
		}
		c.addHost("host-70", 1000)
		c.awaitState(j.ID, rows.Done, 8*time.Second)
	})
}
