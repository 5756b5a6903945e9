package place_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"trefoilramp.org/trefoilramp/internal/batch/place"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

var capacity = sizes.Resources{Processors: 4000, Memory: 4000, Accelerators: 1}

func ready(ident.Worker) bool { return true }

func newBoard(n int) *place.Board {
	b := place.NewBoard()
	for i := range n {
		w := ident.Worker(fmt.Sprintf("w%d", i))
		b.AddWorker(place.Worker{Name: w, Zone: "z", Rack: fmt.Sprintf("r%d", i/3), Capacity: capacity})
		b.UpdateFree(w, capacity, false)
	}
	return b
}

func request(job ident.Job, index uint32, size sizes.Resources) place.Request {
	return place.Request{Task: ident.Task{Job: job, Index: index}, Attempt: 1, Zone: "z", Size: size, IsReady: ready}
}

// Guards against reserving the same capacity twice: however hints, acknowledgments and ends interleave, the sizes
// placed on a worker must not exceed its capacity.
func TestReservationsStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBoard(2)
		type placement struct {
			task ident.Task
			w    ident.Worker
			size sizes.Resources
		}
		var list []placement
		used := map[ident.Worker]sizes.Resources{}
		for i := range rapid.Uint32Range(1, 80).Draw(t, "steps") {
			switch k := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case k < 2:
				size := sizes.Resources{
					Processors: rapid.Int64Range(1, 3000).Draw(t, "processors"), Memory: rapid.Int64Range(1, 3000).Draw(t, "memory"),
					Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
				}
				if w, ok := b.Pick(request("j", i, size)); ok {
					used[w] = used[w].Plus(size)
					if !used[w].Fits(capacity) {
						t.Fatalf("tasks on %s occupy %+v", w, used[w])
					}
					b.Acknowledged(w, ident.Task{Job: "j", Index: i}, 1) // from here on the agent's ledger includes it
					list = append(list, placement{ident.Task{Job: "j", Index: i}, w, size})
				}
			case k == 2 && len(list) > 0:
				p := list[0]
				list = list[1:]
				b.Ended(p.w, p.task, 1, false)
				used[p.w] = used[p.w].Minus(p.size)
			case k == 3:
				w := ident.Worker(fmt.Sprintf("w%d", i%2))
				b.UpdateFree(w, capacity.Minus(used[w]), false)
			}
		}
	})
}

// Guards against placing all tasks of a job on one rack, which a single switch failure makes unreachable.
func TestSpreadOverRacks(t *testing.T) {
	b := newBoard(9)
	racks := map[int]int{}
	for i := range uint32(9) {
		w, ok := b.Pick(request("j", i, sizes.Resources{Processors: 100, Memory: 100}))
		if !ok {
			t.Fatal("no worker has free capacity")
		}
		racks[int(w[1]-'0')/3]++
	}
	for r, n := range racks {
		if n > 5 || len(racks) != 3 {
			t.Errorf("rack %d has %d of 9 tasks on %d racks", r, n, len(racks))
		}
	}
}

// Guards against quarantining healthy workers because of a bad job, counting the failures of a bad worker against good
// jobs, and a fault that quarantines a whole zone.
func TestBadJobAgainstBadWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBoard(20)
		var v place.FailureCause
		for i := range 3 {
			v = b.Failed(ident.Worker(fmt.Sprintf("w%d", i)), "bad")
		}
		if !v.JobIsBad || v.WorkerIsBad {
			t.Errorf("job that failed on 3 workers: %+v", v)
		}
		quarantined := 0
		for w := range 20 {
			for j := range 3 {
				v = b.Failed(ident.Worker(fmt.Sprintf("w%d", w)), ident.Job(fmt.Sprintf("job-%d-%d", w, j)))
			}
			if v.WorkerIsBad {
				quarantined++
			}
		}
		if quarantined != 2 {
			t.Errorf("%d of 20 workers are quarantined, want the limit of 2", quarantined)
		}
		small := sizes.Resources{Processors: 1, Memory: 1}
		isRejected := func(q place.Request) bool { _, ok := b.Pick(q); return !ok }
		only := func(w ident.Worker) place.Request {
			q := request("j", 1, small)
			q.IsReady = func(o ident.Worker) bool { return o == w }
			return q
		}
		if !isRejected(only("w0")) {
			t.Error("a quarantined worker was assigned a task before its probe was due")
		}
		time.Sleep(61 * time.Second)
		if isRejected(only("w0")) || !isRejected(only("w0")) {
			t.Error("want exactly one probe after a minute")
		}
		b.Succeeded("w0")
		if isRejected(only("w0")) {
			t.Error("a successful probe did not end the quarantine")
		}
	})
}

// Guards against a team that starves others, normal jobs before urgent jobs, and a blocked job that blocks others.
func TestFairOrder(t *testing.T) {
	o := place.NewOrder(place.NewTeams())
	one := sizes.Resources{Processors: 1000}
	o.Add("a", "a1", false)
	o.Add("b", "blocked", false)
	o.Add("b", "b1", false)
	o.Add("a", "now", true)
	policy := func(team ident.Team) place.Policy {
		if team == "a" {
			return place.Policy{Weight: 3}
		}
		return place.Policy{Weight: 1}
	}
	started := map[ident.Job]int{}
	first := ident.Job("")
	o.ForEachJob(policy, func(job ident.Job) place.Outcome {
		switch {
		case job == "blocked":
			return place.Blocked
		case job == "now" && started[job] == 1:
			return place.Drained
		case len(started) > 0 && started["a1"]+started["b1"] >= 40:
			return place.Stop
		}
		if first == "" {
			first = job
		}
		started[job]++
		o.Started(map[ident.Job]ident.Team{"a1": "a", "now": "a", "b1": "b"}[job], one)
		return place.Placed
	})
	if first != "now" || started["a1"] < 28 || started["a1"] > 31 {
		t.Errorf("first %s, started %v; want the urgent job first and weights 3 to 1", first, started)
	}
	if o.Reserve("b", place.Policy{Quota: sizes.Resources{Processors: o.Used("b").Processors}}, one) {
		t.Error("a task above the quota is admitted")
	}
}

// Guards against a quota split per partition into parts too small for a task, against entries that together exceed the
// quota, and against tasks of a lost partition that remain counted.
func TestPartitionsShareQuota(t *testing.T) {
	quota := sizes.Resources{Processors: 20_000, Memory: 12}
	var total sizes.Resources
	for _, owned := range []int64{5, 4, 3} {
		total = total.Plus(place.Part(quota, owned, 12))
	}
	if !total.Fits(quota) {
		t.Errorf("the parts of three entries add up to %+v of %+v", total, quota)
	}
	entry := place.NewTeams()
	a, b := place.NewOrder(entry), place.NewOrder(entry)
	p := place.Policy{Quota: place.Part(quota, 6, 12)}
	task := sizes.Resources{Processors: 8000, Memory: 1}
	if !a.Reserve("souss", p, task) {
		t.Error("a task of 8 processors is rejected within half of a quota of 20")
	}
	if b.Reserve("souss", p, task) {
		t.Error("two partitions of an entry occupy 16 processors of its 10")
	}
	a.Close()
	if !b.Reserve("souss", p, task) {
		t.Error("the tasks of a closed partition still count")
	}
}
