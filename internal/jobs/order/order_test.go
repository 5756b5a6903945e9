package order_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/order"
)

var start = time.UnixMilli(1_000_000_000)

var allRules = order.Policy{
	LearnedTimes: true, ValueClasses: true, DelayCost: true, FinishBegun: true, MoveUp: true, LargeShare: true, LimitBegun: true,
	UseSlow: true,
}

const processors = 50

// work is a best-effort job of equal tasks that use a processor each.
type work struct {
	tasks, begun, done int
	runTime            time.Duration // actual
	estimate           time.Duration
	arrival, firstRun  time.Time
	endedAt            time.Time
	ends               []time.Time // of current runs
	movedUp, isLarge   bool
}

func (w *work) size() int64 { return int64(w.tasks) * w.estimate.Milliseconds() }

func (w *work) target() time.Duration { return 2*w.runTime + 3*time.Second }

func (w *work) job(now time.Time) order.Job {
	j := order.Job{
		Deadline: w.arrival.Add(w.target()), LastUseful: w.arrival.Add(3 * w.target()),
		WorkLeft: int64(w.tasks-w.done) * w.estimate.Milliseconds(), Work: int64(w.tasks) * w.estimate.Milliseconds(),
		ChainLeft: w.estimate, DeclaredLeft: w.estimate, Begun: w.begun > 0, MovedUp: w.movedUp,
		Using:  order.Room{BestEffort: 1000 * int64(w.begun-w.done)},
		Wanted: order.Room{BestEffort: 1000 * int64(w.tasks-w.begun)}, IsLarge: w.isLarge,
	}
	if w.begun == w.done {
		j.WaitingSince = w.arrival
		if w.begun > 0 {
			j.WaitingSince = now
		}
	}
	return j
}

// serve runs jobs on a fixed number of processors until a minute after the last arrival.
func serve(policy order.Policy, list []*work) {
	const tick = 100 * time.Millisecond
	p := order.Planner{Policy: policy}
	known := order.NewSizes()
	var active []*work
	var jobs []order.Job
	end := list[len(list)-1].arrival.Add(time.Minute)
	for now := start; now.Before(end); now = now.Add(tick) {
		free := processors
		active, jobs = active[:0], jobs[:0]
		for _, w := range list {
			if w.arrival.After(now) || !w.endedAt.IsZero() {
				continue
			}
			w.ends = slices.DeleteFunc(w.ends, func(at time.Time) bool { return !at.After(now) })
			free -= len(w.ends)
			if w.done = w.begun - len(w.ends); w.done == w.tasks {
				w.endedAt = now
				continue
			}
			if w.arrival.Add(tick).After(now) {
				known.Add("heavy", w.size())
				w.isLarge = known.IsLarge("heavy", w.size())
			}
			active = append(active, w)
			jobs = append(jobs, w.job(now))
			jobs[len(jobs)-1].Sequence = len(jobs)
		}
		entries := p.Plan(now, jobs, order.Room{BestEffort: 1000 * int64(free)})
		for _, isFirst := range []bool{true, false} {
			for _, e := range entries {
				w := active[e.Index]
				w.movedUp = w.movedUp || e.MovedUp
				left := w.tasks
				switch {
				case isFirst && !e.MayBegin:
					continue
				case isFirst && e.Limit > 0:
					left = int(e.Limit+999) / 1000
				}
				for ; left > 0 && free > 0 && w.begun < w.tasks; left-- {
					free--
					if w.begun++; w.begun == 1 {
						w.firstRun = now
					}
					w.ends = append(w.ends, now.Add(w.runTime))
				}
			}
		}
	}
}

// arrivals returns the jobs of a minute whose work exceeds the processors by a factor. A tenth of them are large.
func arrivals(seed uint64, overload float64, estimateFactor func(*rand.Rand) float64) []*work {
	random := rand.New(rand.NewPCG(seed, 7))
	var list []*work
	for now := start; now.Before(start.Add(time.Minute)); {
		w := &work{tasks: 4 + random.IntN(12), runTime: time.Duration(500+random.IntN(1500)) * time.Millisecond, arrival: now}
		if random.IntN(10) == 0 {
			w.tasks *= 4
		}
		w.estimate = time.Duration(float64(w.runTime) * estimateFactor(random))
		list = append(list, w)
		now = now.Add(time.Duration(float64(w.tasks) * float64(w.runTime) / (overload * processors)))
	}
	return list
}

func exact(*rand.Rand) float64 { return 1 }

// value returns the mean worth of jobs: 1 up to the target, falling to 0 at three times the target.
func value(list []*work) float64 {
	sum := 0.0
	for _, w := range list {
		if w.endedAt.IsZero() {
			continue
		}
		late := float64(w.endedAt.Sub(w.arrival)-w.target()) / float64(2*w.target())
		sum += min(1, max(0, 1-late))
	}
	return sum / float64(len(list))
}

// today is the order without rules.
func today(now time.Time, jobs []order.Job) []int {
	list := make([]int, len(jobs))
	for i := range list {
		list[i] = i
	}
	late := func(j order.Job) int {
		if !j.IsLongRunning && now.Add(j.DeclaredLeft).After(j.Deadline) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(list, func(a, b int) int {
		x, y := jobs[a], jobs[b]
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(late(x), late(y)), x.Deadline.Compare(y.Deadline))
	})
	return list
}

// randomJobs returns jobs of all kinds, with ties.
func randomJobs(random *rand.Rand, n int) []order.Job {
	jobs := make([]order.Job, n)
	for i := range jobs {
		j := &jobs[i]
		j.Sequence, j.Priority = i, random.IntN(2)
		j.Deadline = start.Add(time.Duration(random.IntN(20)) * time.Second)
		j.LastUseful = j.Deadline.Add(time.Minute)
		j.DeclaredLeft = time.Duration(random.IntN(20)) * time.Second
		j.ChainLeft = j.DeclaredLeft * time.Duration(1+random.IntN(3))
		j.Work = int64(random.IntN(100_000))
		j.WorkLeft = int64(float64(j.Work) * random.Float64())
		j.Begun, j.IsLarge, j.MovedUp = random.IntN(2) == 0, random.IntN(5) == 0, random.IntN(5) == 0
		j.WaitingSince = start.Add(-time.Duration(random.IntN(60)) * time.Second)
		j.IsLongRunning = random.IntN(8) == 0
		j.IsExempt = j.IsLongRunning || random.IntN(8) == 0
		if !j.IsExempt {
			j.Wanted = order.Room{Counted: int64(random.IntN(2000)), BestEffort: int64(random.IntN(4000))}
		}
	}
	return jobs
}

// Guards against a changed order while capacity suffices or without a policy, and against a change for long-running and
// scheduled jobs among themselves.
func TestOrderWithoutShortageOrRules(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 200 {
		jobs := randomJobs(random, 1+random.IntN(40))
		var room order.Room
		for i := range jobs {
			room.Counted += jobs[i].Wanted.Counted
			room.BestEffort += jobs[i].Wanted.BestEffort
		}
		enough, none := order.Planner{Policy: allRules}, order.Planner{}
		for name, entries := range map[string][]order.Entry{
			"capacity suffices": enough.Plan(start, jobs, room), "no policy": none.Plan(start, jobs, order.Room{}),
		} {
			for i, want := range today(start, jobs) {
				if e := entries[i]; e.Index != want || !e.MayBegin || e.Limit != 0 || e.MovedUp {
					t.Fatalf("%s, case %d: position %d is %+v; want job %d without limits", name, n, i, e, want)
				}
			}
		}
		short := order.Planner{Policy: allRules}
		var got, want []int
		for _, e := range short.Plan(start, jobs, order.Room{}) {
			if jobs[e.Index].IsExempt {
				got = append(got, e.Index)
			}
		}
		for _, i := range today(start, jobs) {
			if jobs[i].IsExempt {
				want = append(want, i)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("case %d: exempt jobs in the order %v; want %v", n, got, want)
		}
	}
}

// Guards against an overload that is served no better than without rules, with exact estimates and with estimates that are
// wrong by a factor of three, and against large jobs that are served only after all others.
func TestOverload(t *testing.T) {
	estimates := map[string]func(*rand.Rand) float64{
		"exact": exact, "three times too long": func(*rand.Rand) float64 { return 3 },
		"three times too short": func(*rand.Rand) float64 { return 1. / 3 },
		"either":                func(r *rand.Rand) float64 { return []float64{1. / 3, 3}[r.IntN(2)] },
	}
	const (
		seeds    = 3
		minShare = 0.85 // of the value without rules, if the largest tenth and old jobs get their share
	)
	withoutShares := allRules // which serve large and old jobs at the cost of others
	withoutShares.LargeShare, withoutShares.MoveUp = false, false
	for name, factor := range estimates {
		for _, overload := range []float64{1.5, 3} {
			var before, best, after, large, all float64
			for seed := range uint64(seeds) {
				list := arrivals(seed, overload, factor)
				serve(order.Policy{}, list)
				before += value(list)
				list = arrivals(seed, overload, factor)
				serve(withoutShares, list)
				best += value(list)
				list = arrivals(seed, overload, factor)
				serve(allRules, list)
				after += value(list)
				l, a := served(list)
				large, all = large+l, all+a
			}
			t.Logf("%s, overload %.1f: value %.3f, without shares %.3f, without rules %.3f; largest tenth served %.2f, all %.2f",
				name, overload, after/seeds, best/seeds, before/seeds, large/seeds, all/seeds)
			if large < all/2 {
				t.Errorf("%s, overload %.1f: %.2f of the largest tenth are served, %.2f of all; want half of that", name, overload, large/seeds, all/seeds)
			}
			if best < before || after < minShare*before {
				t.Errorf("%s, overload %.1f: value %.3f, %.3f without shares; want at least the %.3f without rules, or %.1f of it",
					name, overload, after/seeds, best/seeds, before/seeds, minShare)
			}
		}
	}
}

// served returns the shares of the largest tenth of the jobs and of all that end while they have value.
func served(list []*work) (large, all float64) {
	bySize := slices.Clone(list)
	actual := func(w *work) int64 { return int64(w.tasks) * int64(w.runTime) }
	slices.SortFunc(bySize, func(a, b *work) int { return cmp.Compare(actual(b), actual(a)) })
	for i, w := range bySize {
		if w.endedAt.IsZero() || w.endedAt.Sub(w.arrival) > 3*w.target() {
			continue
		}
		all += 1 / float64(len(list))
		if i < len(list)/10 {
			large += 1 / float64(len(list)/10)
		}
	}
	return large, all
}

// Guards against a job that never runs because others can always be on time: it begins and ends within a bound although the
// overload goes on.
func TestOldJobMovesUp(t *testing.T) {
	const rest = 12 * time.Second // of 50 tasks of 1 s on a tenth of the processors, with those of other jobs before each
	withoutMoveUp := allRules
	withoutMoveUp.MoveUp, withoutMoveUp.LargeShare = false, false
	for _, policy := range []order.Policy{allRules, withoutMoveUp} {
		list := arrivals(1, 2, exact)
		old := &work{tasks: 50, runTime: time.Second, estimate: 100 * time.Second, arrival: start.Add(2 * time.Second)}
		serve(policy, append([]*work{old}, list...))
		wait, end := old.firstRun.Sub(old.arrival), old.endedAt.Sub(old.arrival)
		t.Logf("move up %v: first run after %v, end after %v", policy.MoveUp, wait, end)
		isServed := !old.firstRun.IsZero() && wait <= order.MaxWait+2*time.Second && !old.endedAt.IsZero() && end <= order.MaxWait+rest
		if isServed != policy.MoveUp {
			t.Errorf("move up %v: first run after %v, end after %v; want %v and %v if it does", policy.MoveUp, wait, end,
				order.MaxWait, order.MaxWait+rest)
		}
	}
}

// Guards against a job that never moves up because older jobs of a lower priority, which get no capacity before it, take the
// share of the processors for jobs that have moved up.
func TestLowerPriorityLeavesShare(t *testing.T) {
	urgent := (&work{tasks: 20, runTime: time.Second, estimate: time.Second, arrival: start.Add(-order.MaxWait)}).job(start)
	older := (&work{tasks: 20, runTime: time.Second, estimate: time.Second, arrival: start.Add(-2 * order.MaxWait)}).job(start)
	older.Priority = 1
	older.Sequence = 1
	p := order.Planner{Policy: order.Policy{MoveUp: true}}
	if e := p.Plan(start, []order.Job{older, urgent}, order.Room{BestEffort: 10_000})[0]; e.Index != 1 || !e.MovedUp {
		t.Errorf("first in the order is %+v; want the job of the higher priority, moved up", e)
	}
}

// Guards against the largest jobs that callers may declare, whose sums overflow: capacity then seems to suffice.
func TestLargestJobsAreAShortage(t *testing.T) {
	jobs := make([]order.Job, 1000)
	for i := range jobs {
		jobs[i].Wanted.Counted = order.Processors(1<<40, 20_000)
		jobs[i].WorkLeft = order.Work(1<<40, (1<<33)*time.Millisecond, 20_000)
		if jobs[i].WorkLeft <= 0 {
			t.Fatalf("work %d", jobs[i].WorkLeft)
		}
	}
	if !order.IsShort(jobs, order.Room{Counted: 1 << 40}) {
		t.Errorf("the requests of %d jobs of %d processors do not exceed those of one", len(jobs), jobs[0].Wanted.Counted/1000)
	}
}

// Guards against decisions by a few outliers, against images without runs that ignore their queue, against unbounded
// memory for images that callers name, and against a queue that is forgotten for them.
func TestRunTimes(t *testing.T) {
	const second = time.Second
	k := order.Kind{Queue: "heavy", Image: "a", BestEffort: true}
	times := order.NewRunTimes()
	times.Record(k, second, 50*second)
	if r := times.Ratio(k); r > 3 {
		t.Errorf("ratio %.2f after one run that took 50 times as long; want at most 3", r)
	}
	for n := range 40 {
		took := 2 * second
		if n%10 == 0 {
			took = 60 * second
		}
		times.Record(k, second, took)
	}
	if r := times.Ratio(k); r < 1.7 || r > 3 {
		t.Errorf("ratio %.2f after runs of twice the declared time, a tenth of them of 60 times; want 1.7 to 3", r)
	}
	if r := times.Ratio(order.Kind{Queue: "heavy", Image: "b", BestEffort: true}); r < 1.5 {
		t.Errorf("ratio %.2f for an image without runs; want that of the queue", r)
	}
	if r := times.Ratio(order.Kind{Queue: "other"}); r != 1 {
		t.Errorf("ratio %.2f for a queue without runs; want 1", r)
	}
	for n := range 5000 {
		times.Record(order.Kind{Queue: "heavy", Image: fmt.Sprint(n)}, second, second)
	}
	if n := times.Len(); n > 1024 {
		t.Errorf("%d means; want at most 1024", n)
	}
	if _, runs := times.Queue("heavy", true); runs != 41 {
		t.Errorf("%d runs of a queue are known after those of 5000 images of its reserved tasks; want 41", runs)
	}
}

// Guards against a burst of heavy jobs that are all begun at once and all late, and against a bound that leaves capacity to
// nobody: some jobs may begin, the others only on capacity that is left.
func TestBurstBeginsFewJobs(t *testing.T) {
	jobs := make([]order.Job, 20)
	for i := range jobs {
		jobs[i] = (&work{tasks: 20, runTime: time.Second, estimate: time.Second, arrival: start}).job(start)
	}
	p := order.Planner{Policy: order.Policy{LimitBegun: true}}
	count := func(room order.Room) (n int) {
		for _, e := range p.Plan(start, jobs, room) {
			if e.MayBegin {
				n++
			}
		}
		return n
	}
	if n := count(order.Room{BestEffort: 50_000}); n != 3 {
		t.Errorf("%d jobs of 20 tasks may begin on 50 processors; want 3, the last on half of what it requests", n)
	}
	if n := count(order.Room{}); n != 1 {
		t.Errorf("%d jobs may begin without capacity; want 1", n)
	}
	jobs[19].Begun, jobs[19].Using.BestEffort, jobs[19].Wanted.BestEffort = true, 20_000, 0
	if n := count(order.Room{}); n != 1 {
		t.Errorf("%d jobs may begin or go on without capacity, and one is in progress; want 1", n)
	}
}

// Guards against late jobs that hold up those that can be on time, against jobs that begin before one is finished that needs
// little more, against large jobs that delay small ones of about the same age, against small ones that always overtake, and
// against jobs that are late only by their declared run times.
func TestRules(t *testing.T) {
	at := func(tasks int, arrival time.Duration) order.Job {
		return (&work{tasks: tasks, runTime: time.Second, estimate: time.Second, arrival: start.Add(arrival)}).job(start)
	}
	mistaken, nearlyDone := at(2, 0), at(2, 10*time.Second)
	mistaken.DeclaredLeft = time.Minute
	nearlyDone.Begun, nearlyDone.WorkLeft = true, nearlyDone.Work/4
	worthless, late := at(2, -20*time.Second), at(2, -6*time.Second) // their targets were 5 s
	delay, learned := order.Policy{DelayCost: true}, order.Policy{DelayCost: true, LearnedTimes: true}
	for _, test := range []struct {
		name   string
		policy order.Policy
		jobs   []order.Job
		want   []int
	}{
		{"nearly done, on time, late, without value", allRules, []order.Job{worthless, late, at(2, 0), nearlyDone}, []int{3, 2, 1, 0}},
		{"small first", delay, []order.Job{at(50, -time.Second), at(2, 0)}, []int{1, 0}},
		{"small but a target later", delay, []order.Job{at(50, 0), at(2, 6*time.Second)}, []int{0, 1}},
		{"late as declared", delay, []order.Job{at(2, time.Second), mistaken}, []int{0, 1}},
		{"on time as learned", learned, []order.Job{at(2, time.Second), mistaken}, []int{1, 0}},
	} {
		p := order.Planner{Policy: test.policy}
		var got []int
		for _, e := range p.Plan(start, test.jobs, order.Room{}) {
			got = append(got, e.Index)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: order %v; want %v", test.name, got, test.want)
		}
	}
}
