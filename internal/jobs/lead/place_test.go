package lead_test

import (
	"strings"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
)

// Guards against tasks that fill and stay, paced down, on a worker whose serving tasks do not answer any more.
func TestFillsLeaveStuckWorker(t *testing.T) {
	inWorld(t, func(w *world) {
		serving, filling := job(1, 1, 1), job(2, 1, 1)
		serving.Steps[0] = spec.Step{
			Count: 1, Size: sizes.Resources{Processors: 3000, Memory: 1 << 20}, Lasting: true, Image: "s", Target: 20,
		}
		filling.Steps[0].Fills, filling.Steps[0].Image, filling.Steps[0].Estimate = true, "f", 6000
		figure := 5
		w.plan = func(r wire.Run) runs.Plan {
			if strings.HasPrefix(r.Task, string(serving.ID)) {
				return runs.Plan{Size: serving.Steps[0].Size, Serving: figure}
			}
			return runs.Plan{Takes: 6 * time.Second, Figure: 1000}
		}
		w.set(w.cut, "host-2", true)
		w.dropLinks("host-2")
		time.Sleep(3 * time.Second)
		w.submit(serving)
		time.Sleep(2 * time.Second)
		w.submit(filling)
		time.Sleep(time.Second)
		w.set(w.cut, "host-2", false)
		time.Sleep(3 * time.Second)
		figure = 18_000
		w.hosts["host-1"].worker.Refresh()
		time.Sleep(5 * time.Second)
		var last runs.Record
		for _, r := range runsOf(w, filling.ID) {
			if r.Began.After(last.Began) {
				last = r
			}
		}
		if last.Worker != "host-2" {
			t.Errorf("the task that fills is on %s 5 s after the serving task there stopped answering", last.Worker)
		}
		w.awaitState(filling.ID, rows.Done, 15*time.Second)
	})
}

// Guards against a task that lasts and was lost, and waits behind all work that ends because its own target has passed.
func TestLostLastingTaskComesFirst(t *testing.T) {
	inWorld(t, func(w *world) {
		lasting, batch := job(1, 1, 1), job(2, 1, 40)
		lasting.Steps[0].Lasting = true
		batch.Objective = 120_000
		w.plan = func(r wire.Run) runs.Plan {
			p := runs.Plan{Size: sizes.Resources{Processors: 1000}}
			if !strings.HasPrefix(r.Task, string(lasting.ID)) {
				p.Takes = time.Second
			}
			return p
		}
		w.submit(lasting)
		time.Sleep(10 * time.Second)
		lost := w.hosts[runsOf(w, lasting.ID)[0].Worker]
		w.submit(batch)
		time.Sleep(time.Second)
		w.beginLife(lost)
		time.Sleep(4 * time.Second)
		for _, r := range runsOf(w, lasting.ID) {
			if r.Ended.IsZero() {
				return
			}
		}
		t.Error("the lasting task is not back 4 s after its worker began a new life")
	})
}
