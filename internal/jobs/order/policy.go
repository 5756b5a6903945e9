package order

import "time"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Reason -output reason_string.go

const (
	// beginMargin and finishMargin are factors on the time that a job still needs when it is decided whether it can meet
	// its completion target. A job that has not begun needs a reserve for its wait for capacity; one that has begun keeps
	// its class although its estimate is too high, so that it does not lose its place shortly before it ends.
	beginMargin  = 1.3
	finishMargin = 0.7
	// finishShare is the share of a job's work up to which a job that has begun is finished before others begin.
	finishShare = 1.0 / 3
	// MaxWait is the time without a run after which a job moves up. Callers were observed to wait up to 46 s for heavy jobs; a
	// job of their queues has lost its value by then, and must still end.
	MaxWait = 30 * time.Second
	// movedUpShare is the share of the processors that jobs get which have moved up. The rest stays with jobs that can still be
	// on time, however long an overload lasts.
	movedUpShare = 0.1
	// largeFactor is the part of their share of the requested work that is reserved for the largest jobs. In the generated
	// overloads of the package test, 0.7 serves them half as often as the others, 1.0 three quarters as often.
	largeFactor = 0.85
	// beginShare is the share of the processors of its next step that must be left before a job begins: with half of them, the
	// step takes two rounds of tasks at most.
	beginShare = 0.5
)

// Policy selects the rules that apply while capacity is insufficient. The zero value orders jobs by priority, then those
// that can meet their deadline, then by deadline, and lets all of them begin.
type Policy struct {
	LearnedTimes bool // correct declared run times by those of earlier runs
	ValueClasses bool // by target, margins included: on time, late but of value, and without value
	DelayCost    bool // within a class, delay large jobs in favor of small ones, by up to a completion target
	FinishBegun  bool // within a class, end jobs that have begun and need little more work first
	MoveUp       bool // move jobs up that have waited for MaxWait
	LargeShare   bool // give the largest tenth of each queue's jobs its share of the processors
	LimitBegun   bool // begin only best-effort jobs for which enough capacity is left
	UseSlow      bool // let jobs in progress use processors that leave their tasks less than half speed
}

// AllRules returns the policy with all rules.
func AllRules() Policy {
	return Policy{
		LearnedTimes: true, ValueClasses: true, DelayCost: true, FinishBegun: true, MoveUp: true, LargeShare: true, LimitBegun: true,
		UseSlow: true,
	}
}

// reorders reports whether a rule changes the order of jobs. Long-running and scheduled jobs are then first among those that
// can be on time, so that no rule delays them.
func (p Policy) reorders() bool {
	return p.ValueClasses || p.DelayCost || p.FinishBegun || p.MoveUp || p.LargeShare
}

// Job describes an active job.
type Job struct {
	Sequence      int       // decides between jobs that are equal otherwise; the lowest is first
	Priority      int       // the lowest is the most urgent
	Deadline      time.Time // completion target
	LastUseful    time.Time // after which the end of the job has no value to its caller
	WorkLeft      int64     // expected work of the unfinished tasks, processor-milliseconds
	Work          int64     // expected work of all tasks, processor-milliseconds
	ChainLeft     time.Duration
	DeclaredLeft  time.Duration // as ChainLeft, by declared run times
	Begun         bool          // a task has started
	MovedUp       bool          // an earlier Plan has moved the job up
	WaitingSince  time.Time     // since when the job has been without a run; zero while it has one
	IsLongRunning bool          // has long-running tasks, and is never late
	IsExempt      bool          // has long-running tasks or a schedule
	IsLarge       bool          // is among the largest tenth of its queue; see Sizes
	Using         Room          // processors that the current runs request
	Wanted        Room          // processors that the tasks request which may start now
}

// Room is an amount of processors, in thousandths: those that tasks reserve, and those that best-effort tasks use.
type Room struct {
	Counted, BestEffort int64
}

// maxAmount bounds the work and the processors of a step. Callers may declare 2^40 thousandths of a processor and 2^33 ms for
// each of 20,000 tasks; with this bound, the sums over 80,000 jobs of 100 steps fit into 63 bits.
const maxAmount = 1 << 40

// Work returns the work of some tasks of a step, in processor-milliseconds, and maxAmount for more.
func Work(processors int64, runTime time.Duration, tasks int) int64 {
	return int64(min(maxAmount, float64(processors)/1000*float64(runTime.Milliseconds())*float64(tasks)))
}

// Processors returns the processors of some tasks of a step, in thousandths, and maxAmount for more.
func Processors(perTask int64, tasks int) int64 {
	return int64(min(maxAmount, float64(perTask)*float64(tasks)))
}

func (r Room) sum() int64 { return r.Counted + r.BestEffort }

// Reason states why a job may begin.
type Reason uint8

// Reasons to begin.
const (
	ReasonUnused  Reason = iota // the job may begin only on capacity that other jobs cannot use
	ReasonRoom                  // the capacity suffices
	ReasonFirst                 // no best-effort job is in progress
	ReasonMovedUp               // the job has waited for MaxWait
	ReasonLarge                 // the job is among the largest, and these have less than their share
)

// Entry is the position of a job in the order.
type Entry struct {
	Index    int  // of the job in the argument of Plan
	MayBegin bool // always true for jobs that have begun and for jobs without best-effort tasks to start
	MovedUp  bool
	// Limit is the most processors that tasks may request which the job starts at this position, in thousandths, one task
	// at least; 0 for no limit. The job may start more tasks on capacity that other jobs cannot use.
	Limit  int64
	Reason Reason
}
