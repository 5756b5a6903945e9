package lead_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// explain returns the leader's explanation of a job and the verdict after it.
func explain(tb testing.TB, t *lead.Term, j *spec.Job) (x lead.Explanation, v wire.JobVerdict) {
	tb.Helper()
	packed, err := wire.Pack(j)
	if err != nil {
		tb.Fatal(err)
	}
	e := newEndpoint()
	t.Request(e, &wire.JobAsk{Number: 1, Action: wire.JobExplain, ID: string(j.ID), Packed: packed})
	for {
		switch m := (<-e.out).(type) {
		case *wire.JobTell:
			return x, m.Verdict
		case *wire.JobExplained:
			if err := json.Unmarshal(m.Packed, &x); err != nil {
				tb.Fatal(err)
			}
		}
	}
}

// Guards against an explanation that differs from what the leader does, that misses a reason, or that has an effect itself.
func TestExplanation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, t, 1)
		c.usesEvacuations = true
		c.plan = func(wire.Run) runs.Plan { return runs.Plan{RunTime: time.Hour} }
		c.addEntry("entry-1")
		c.set(c.isolated, "lost", true)
		for name, processors := range map[string]int64{"near-1": 4000, "near-2": 4000, "small": 500, "lost": 4000} {
			c.addHost(name, processors)
		}
		c.addHostIn("rabat", "away", 4000)
		c.awaitTerm(10 * time.Second)
		c.evacuate("rabat", true)
		time.Sleep(3 * time.Second)
		for i, size := range []int64{1000, 16_000, 16_000} { // the first job runs, no worker is large enough for the others
			j := job(i+1, 1, 1)
			j.Steps[0].Size.Processors, j.Priority, j.Objective = size, i, time.Hour.Milliseconds() // not late during the test
			c.submit(j)
		}
		time.Sleep(time.Second)
		j := job(4, 5, 1)
		j.Priority, j.Objective = 2, 2*time.Hour.Milliseconds()
		for i := range 4 {
			j.Steps[i].After = nil
		}
		j.Steps[1].Label = "ssd"
		j.Steps[2].BestEffort = true
		j.Steps[3].Size.Memory = 1 << 41
		first, _ := explain(t, c.term(), j)
		if _, v := explain(t, c.term(), j); v != wire.VerdictNotDone {
			t.Errorf("the next request was answered with %v at once; want VerdictNotDone", v)
		}
		time.Sleep(time.Second)
		second, v := explain(t, c.term(), j)
		if diff := cmp.Diff(first, second); diff != "" || v != wire.VerdictKnown {
			t.Errorf("second explanation: %v, %s", v, diff)
		}
		if n := len(c.records()); n != 1 {
			t.Errorf("%d tasks have runs after the explanations; want 1", n)
		}
		got := ""
		for _, s := range first.Steps {
			got += fmt.Sprint(s.Step, s.Excluded)
			for _, k := range s.Candidates {
				got += " " + k.Worker
			}
			got += "\n"
		}
		want := `0 [{Disconnected 1} {Processors 1} {Evacuated 1}] near-2 near-1
1 [{Disconnected 1} {Label 4}]
2 [{Disconnected 1} {Evacuated 1} {Load 1}] near-2 near-1
3 [{Disconnected 1} {Processors 1} {Memory 3}]
`
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if first.Higher != 1 || first.Before != 1 || first.LaterSteps != 1 || first.Workers != 5 || first.Leader != "entry-1" {
			t.Errorf("%+v; want 1 job of higher priority, 1 before of the same, 1 later step, 5 workers", first)
		}
		c.submit(j)
		time.Sleep(time.Second)
		list := c.records()[spec.Task{Job: j.ID}.String()]
		if len(list) != 1 || list[0].Worker != first.Steps[0].Candidates[0].Worker {
			t.Errorf("runs of the job's first task: %+v; want one on %s", list, first.Steps[0].Candidates[0].Worker)
		}
		c.stop("entry-1")
		cancel()
		c.wg.Wait()
	})
}
