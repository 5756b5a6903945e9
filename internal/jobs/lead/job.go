package lead

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// task is the state of one task.
type task struct {
	done   bool
	runs   []*run
	took   float64 // seconds that the run which was done took
	ranOn  *worker // where it was done
	failed []int   // numbers of the runs that ended in failure
	saved  string
	number int // of the last run
	after  time.Time
	awayAt time.Time // a lasting task has not been at work since
	moves  int       // to other workers, of a task that fills
	avoid  *worker   // where the last run failed or stood still
}

// job is the state of one job in the leader's memory.
type job struct {
	spec      *spec.Job
	tasks     []task
	offsets   []int // ordinal of the first task of each step in a round
	perRound  int
	done      []int     // tasks done, by round and step
	left      int       // tasks not done
	running   int       // runs
	idleAt    time.Time // when it last ceased to have a run
	waiting   int       // tasks neither done nor with a run
	state     rows.State
	stored    rows.State
	endedAt   time.Time
	dirty     bool
	old       bool // accepted before the takeover: runs may exist that the leader has not heard of
	begun     bool
	takenAt   time.Time
	target    time.Time // when the job should be done
	urgency   urgency
	forecasts map[int]*press.Forecast // of the loads of serving tasks, by step
}

func newJob(s *spec.Job, now time.Time) *job {
	j := &job{spec: s, offsets: make([]int, len(s.Steps)), takenAt: now}
	for i := range s.Steps {
		j.offsets[i] = j.perRound
		j.perRound += s.Steps[i].Count
	}
	j.tasks = make([]task, j.perRound*s.Rounds())
	j.done = make([]int, len(s.Steps)*s.Rounds())
	j.left = len(j.tasks)
	j.idleAt = now
	j.waiting = j.left
	accepted := now
	if age := time.Since(time.UnixMilli(s.AcceptedAt)); age > 0 && age < time.Minute {
		accepted = now.Add(-age)
	}
	stretch := max(s.Stretch, 1)
	j.target = accepted.Add(time.Duration(stretch*float64(s.Chain())+float64(s.Objective)) * time.Millisecond)
	return j
}

// load restores the durable progress.
func (j *job) load(a rows.Advance) {
	j.state, j.stored = a.State, a.State
	if a.State.IsFinal() {
		j.endedAt = time.Now()
	}
	for i := range j.tasks {
		if i/8 < len(a.Done) && a.Done[i/8]&(1<<(i%8)) != 0 {
			j.setDone(i)
		}
	}
	for _, n := range a.Notes {
		if n.Task < len(j.tasks) {
			j.tasks[n.Task].failed, j.tasks[n.Task].saved = n.Failed, n.Saved
		}
	}
	j.begun = a.State != rows.Queued
}

// advance returns the durable form of the progress.
func (j *job) advance() rows.Advance {
	a := rows.Advance{State: j.state}
	if j.state.IsFinal() {
		a.EndsAt = time.Now().UnixMilli()
		return a
	}
	a.Done = make([]byte, (len(j.tasks)+7)/8)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done {
			a.Done[i/8] |= 1 << (i % 8)
		} else if len(t.failed) > 0 || t.saved != "" {
			a.Notes = append(a.Notes, rows.TaskNote{Task: i, Failed: t.failed, Saved: t.saved})
		}
	}
	return a
}

// locate returns round and step of a task.
func (j *job) locate(ordinal int) (round, step int) {
	round = ordinal / j.perRound
	in := ordinal % j.perRound
	step = len(j.offsets) - 1
	for j.offsets[step] > in {
		step--
	}
	return round, step
}

// name returns the identity of a task.
func (j *job) name(ordinal int) spec.Task {
	round, step := j.locate(ordinal)
	return spec.Task{Job: j.spec.ID, Round: round, Step: step, Index: ordinal%j.perRound - j.offsets[step]}
}

// ordinal returns the ordinal of a task, and false when the job has no such task.
func (j *job) ordinal(t spec.Task) (int, bool) {
	if t.Step >= len(j.offsets) || t.Round >= j.spec.Rounds() || t.Index >= j.spec.Steps[t.Step].Count {
		return 0, false
	}
	return t.Round*j.perRound + j.offsets[t.Step] + t.Index, true
}

// span returns the ordinals of a step: from first up to end.
func (j *job) span(round, step int) (first, end int) {
	first = round*j.perRound + j.offsets[step]
	return first, first + j.spec.Steps[step].Count
}

func (j *job) setDone(ordinal int) {
	t := &j.tasks[ordinal]
	if t.done {
		return
	}
	if len(t.runs) == 0 {
		j.waiting--
	}
	t.done = true
	round, step := j.locate(ordinal)
	j.done[round*len(j.offsets)+step]++
	j.left--
}

// isOpen reports whether the tasks of a step may start: all tasks that it follows are done and its time has come.
func (j *job) isOpen(round, step int, wall time.Time) bool {
	if due, ok := j.spec.Due(round); ok && wall.Before(due) {
		return false
	}
	for _, a := range j.spec.Steps[step].After {
		if j.done[round*len(j.offsets)+a] < j.spec.Steps[a].Count {
			return false
		}
	}
	return true
}

func (j *job) addRun(ordinal int, r *run) {
	t := &j.tasks[ordinal]
	if len(t.runs) == 0 && !t.done {
		j.waiting--
	}
	t.runs = append(t.runs, r)
	j.running++
}

func (j *job) dropRun(r *run) {
	t := &j.tasks[r.ordinal]
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			if j.running--; j.running == 0 {
				j.idleAt = time.Now()
			}
			if len(t.runs) == 0 && !t.done {
				j.waiting++
			}
			return
		}
	}
}

// run is a run that occupies a worker, from the order to start it until its end is listed.
type run struct {
	job      *job
	ordinal  int
	step     *spec.Step
	key      wire.Run
	worker   *worker
	order    uint64 // number of the orders with the start
	listed   bool   // a look has shown it
	stopping bool
	counted  bool // its length was taken for the speed of its worker
	resumed  bool // it began from a checkpoint
	copied   bool // another run of the task was started beside it
	closed   bool // a stop has made sure that the worker never starts it
	orderAt  time.Time
	percent  int
	moved    time.Time // when the percent grew last
	startPct int       // percent at the first look
	served   bool      // a serving task has shown a figure
	own      float64   // load of a serving task without tasks that fill
	ownMean  float64   // the same over several seconds
	share    float64   // of its processors that a task that fills used lately
	work     float64   // seconds of full work that a task that fills has done here
	workAt   time.Time // up to when work is known
	workPct  int       // percent when work was zero
	firstAt  time.Time // of the first look
}
