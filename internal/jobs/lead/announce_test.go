package lead_test

import (
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// Guards against a task that runs twice: after a restart of its agent, a late announcement of an earlier incarnation of
// the worker made the leader release the runs of the current one.
func TestLateAnnouncementAfterAgentRestart(t *testing.T) {
	for _, test := range []struct {
		name     string
		takeover bool // another entry takes over while the agent restarts
	}{{"same leader", false}, {"new leader", true}} {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(c *cluster) {
				c.plan = func(wire.Run) runs.Plan {
					return runs.Plan{Size: sizes.Resources{Processors: 500}, RunTime: 5 * time.Second}
				}
				h := c.hosts["host-1"]
				earlier := h.worker.State()
				c.startWorker(h)
				time.Sleep(2 * time.Second)
				j := job(1, 1, 4)
				j.Steps[0].Size.Processors = 500
				c.submit(j)
				time.Sleep(time.Second)
				c.set(c.isolated, h.name, true)
				c.dropLinks(h.name)
				if test.takeover {
					c.kill("entry-1")
					c.awaitTerm(10 * time.Second)
				}
				c.restartAgent(h, earlier)
				c.set(c.isolated, h.name, false)
				c.awaitState(j.ID, rows.Done, 30*time.Second)
				if n := len(runsOf(c, j.ID)); n != 4 {
					t.Errorf("%d runs of 4 tasks; want 4", n)
				}
			})
		})
	}
}
