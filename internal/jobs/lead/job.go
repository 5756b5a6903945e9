package lead

import (
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/fcast"
	"trefoilramp.org/trefoilramp/internal/jobs/impact"
	"trefoilramp.org/trefoilramp/internal/jobs/order"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// task holds the scheduling state of a task.
type task struct {
	done         bool
	runs         []*run
	runSeconds   float64   // run time of the successful run, in seconds
	doneOn       *worker   // worker of the successful run
	failed       []int     // numbers of the last failed runs
	failedBefore int       // number of failed runs before those
	checkpoint   string    // newest reported
	lastNumber   int       // run number of the last start
	retryAt      time.Time // earliest time of the next start
	downSince    time.Time // when a long-running task last lost a run
	moves        int       // moves of a best-effort task to another worker
	avoid        *worker   // where the last run failed, stalled or was too slow
	avoidUntil   time.Time // until then, the last attempt is not made on avoid
}

// runsOn reports whether a worker has a run of the task.
func (t *task) runsOn(w *worker) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker == w })
}

// job holds the scheduling state of a job.
type job struct {
	spec          *spec.Job
	tasks         []task
	offsets       []int // ordinal of the first task of each step, within a round
	tasksPerRound int
	tasksPerPage  int       // see page
	done          []int     // finished tasks, by round and step
	left          int       // unfinished tasks
	running       int       // current runs
	idleSince     time.Time // when running last became 0; at first when the job was added
	waiting       int       // unfinished tasks without a run
	state         rows.State
	stored        rows.State // last state known to be durable
	endedAt       time.Time
	inherited     bool      // accepted under an earlier epoch, so runs may exist that this leader does not know
	begun         bool      // a worker has listed a run or its end
	addedAt       time.Time // when this leader added the job
	acceptedAt    time.Time // when an entry accepted the job, by the clock of this leader
	deadline      time.Time // soft deadline for the end of the job
	lastUseful    time.Time // after which the end of the job has no value to its caller
	isPlanned     bool      // in Term.lastPlanned from the next plan on
	sequence      int       // number of the job among those planned
	movedUp       bool      // has waited for order.MaxWait
	beginReason   order.Reason
	demand        demand
	urgency       urgency
	remaining     time.Duration // see remainingTime; negative if unknown
	blocks        map[blockKey]block
	forecasts     map[int]*impact.Forecast // load forecasts of serving tasks, by step
	siblings      map[int]*siblings        // by stepIndex
	outlook       jobOutlook
	credited      [workKinds]float64 // work of current runs that the rates include; see outlookCredit
}

func newJob(s *spec.Job, now time.Time) *job {
	j := newJobWithoutTasks(s, now)
	j.tasksPerPage = tasksPerPage(s)
	j.tasks = make([]task, j.tasksPerRound*s.Rounds())
	j.left = len(j.tasks)
	j.waiting = j.left
	return j
}

// newJobWithoutTasks returns a job to which the conditions and costs of its steps apply, without the memory of its tasks.
func newJobWithoutTasks(s *spec.Job, now time.Time) *job {
	j := &job{spec: s, offsets: make([]int, len(s.Steps)), addedAt: now}
	for i := range s.Steps {
		j.offsets[i] = j.tasksPerRound
		j.tasksPerRound += s.Steps[i].Count
	}
	j.done = make([]int, len(s.Steps)*s.Rounds())
	j.idleSince = now
	j.remaining = -1
	accepted := now
	if age := time.Since(time.UnixMilli(s.AcceptedAt)); age > 0 && age < time.Minute {
		accepted = now.Add(-age)
	}
	allowed := s.Allowed(maxDeadline)
	j.acceptedAt, j.deadline = accepted, accepted.Add(allowed)
	j.lastUseful = accepted.Add(min(fcast.ValueFactor*allowed, maxDeadline))
	return j
}

// locate returns the round and step of a task.
func (j *job) locate(ordinal int) (round, step int) {
	round = ordinal / j.tasksPerRound
	in := ordinal % j.tasksPerRound
	step = len(j.offsets) - 1
	for j.offsets[step] > in {
		step--
	}
	return round, step
}

// taskID returns the identifier of a task.
func (j *job) taskID(ordinal int) spec.Task {
	round, step := j.locate(ordinal)
	return spec.Task{Job: j.spec.ID, Round: round, Step: step, Index: ordinal%j.tasksPerRound - j.offsets[step]}
}

// ordinal returns the ordinal of a task, and false if the job has no such task.
func (j *job) ordinal(t spec.Task) (int, bool) {
	if t.Step >= len(j.offsets) || t.Round >= j.spec.Rounds() || t.Index >= j.spec.Steps[t.Step].Count {
		return 0, false
	}
	return t.Round*j.tasksPerRound + j.offsets[t.Step] + t.Index, true
}

// stepIndex returns the index of a step in a round.
func (j *job) stepIndex(round, step int) int { return round*len(j.offsets) + step }

// span returns the range of task ordinals of a step in a round, from first up to but not including end.
func (j *job) span(round, step int) (first, end int) {
	first = round*j.tasksPerRound + j.offsets[step]
	return first, first + j.spec.Steps[step].Count
}

// setDone marks a task as done.
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
	index := j.stepIndex(round, step)
	if j.done[index]++; j.done[index] == j.spec.Steps[step].Count {
		delete(j.siblings, index)
	}
	j.remaining = -1
	j.demand.isKnown, j.outlook.isKnown = false, false
	j.left--
}

// mayStart reports whether the tasks of a step may start: all steps that it depends on are done and the round is due.
func (j *job) mayStart(round, step int, wall time.Time) bool {
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
	j.demand.isKnown = false
}

func (j *job) dropRun(r *run) {
	t := &j.tasks[r.ordinal]
	for i, o := range t.runs {
		if o == r {
			j.demand.isKnown = false
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			if j.running--; j.running == 0 {
				j.idleSince = time.Now()
			}
			if len(t.runs) == 0 && !t.done {
				j.waiting++
			}
			return
		}
	}
}

// run is a run that occupies a worker, from its start command until its end is reported.
type run struct {
	job              *job
	ordinal          int
	step             *spec.Step
	key              wire.Run
	worker           *worker
	commandSeq       uint64    // number of the message with the start command; 0 if not sent in this session
	listed           bool      // a complete report has listed the run
	stopping         bool      // a stop is due or was sent
	speedRecorded    bool      // its lateness has been counted in the worker's speed
	resumed          bool      // started from a checkpoint
	copied           bool      // a speculative copy was started
	pendingLogged    bool      // StartPending was logged
	cancelling       bool      // a cancel was sent in this session
	startBlocked     bool      // a stop command ensures that the worker no longer starts it
	startedAt        time.Time // when the start command was issued or the run adopted
	percent          int       // last reported progress
	progressedAt     time.Time // when percent last increased
	firstPercent     int       // percent in the first complete report that lists the run
	measured         bool      // a tail latency of the serving task was reported
	ownLoad          float64   // load of a serving task without interference, from 0 to 1
	meanOwnLoad      float64   // ownLoad, exponentially smoothed
	share            float64   // recent share of its processors that a best-effort task used
	work             float64   // work that a best-effort task has done in this run, in seconds at full speed
	workAt           time.Time // time of the last update of work
	workStartPercent int       // percent when work was first recorded
	firstSeenAt      time.Time // time of the first complete report that lists the run
	credit           outlookCredit
}
