package part

import (
	"iter"
	"slices"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Errors with which Apply refuses an event; the state is unchanged. Restore also returns ErrMalformed.
var (
	ErrEpoch     = errors.New("event has an older epoch than the partition")
	ErrUnknown   = errors.New("job or task does not exist in the partition")
	ErrExists    = errors.New("job or share is already in the partition")
	ErrAttempt   = errors.New("attempt is not the current one")
	ErrState     = errors.New("task is in another state")
	ErrCancelled = errors.New("job is cancelled")
	ErrFinished  = errors.New("job or share is finished")
	ErrMalformed = errors.New("event is malformed")
)

// State is the state of one partition. It has one writer and is not safe for concurrent use.
type State struct {
	epoch   ident.Epoch
	jobs    map[ident.Job]*Job   // jobs whose home is this partition
	shares  map[ident.Job]*Share // at most one share of a job per partition
	holders holders
}

// New returns an empty partition.
func New() *State {
	return &State{jobs: map[ident.Job]*Job{}, shares: map[ident.Job]*Share{}}
}

// Apply applies an event written under the given epoch, or returns an error and leaves the state unchanged.
func (s *State) Apply(epoch ident.Epoch, e *Event) error {
	if epoch < s.epoch {
		return ErrEpoch
	}
	if err := s.apply(e); err != nil {
		return err
	}
	s.epoch = epoch
	return nil
}

func (s *State) apply(e *Event) error {
	switch e.Kind {
	case JobAccepted:
		return s.acceptJob(e)
	case ShareTaken:
		return s.takeShare(e)
	case TaskStarted:
		return s.startTask(e)
	case TaskFinished, TaskFailed, TaskEvicted, TaskReleased:
		return s.endAttempt(e)
	case JobCancelled:
		return s.cancelJob(e)
	case ShareDone:
		return s.endShare(e)
	case ShareClosed:
		return s.closeShare(e)
	case JobForgotten:
		return s.forgetJob(e)
	default:
		return ErrMalformed
	}
}

func (s *State) acceptJob(e *Event) error {
	if e.Spec == nil || e.Spec.Job != e.Job || !covers(e.Spec, e.Shares) {
		return ErrMalformed
	}
	if s.jobs[e.Job] != nil {
		return ErrExists
	}
	s.jobs[e.Job] = newJob(e)
	return nil
}

func (s *State) takeShare(e *Event) error {
	if e.Spec == nil || e.Spec.Job != e.Job || e.Share == nil || e.Share.Range.From >= e.Share.Range.To ||
		e.Share.Range.To > e.Spec.Tasks {
		return ErrMalformed
	}
	if s.shares[e.Job] != nil {
		return ErrExists
	}
	s.shares[e.Job] = newShare(e)
	return nil
}

func (s *State) find(e *Event) (*Share, *task, error) {
	sh := s.shares[e.Job]
	if sh == nil {
		return nil, nil, ErrUnknown
	}
	t := sh.at(e.Index)
	if t == nil {
		return nil, nil, ErrUnknown
	}
	return sh, t, nil
}

func (s *State) startTask(e *Event) error {
	sh, t, err := s.find(e)
	switch {
	case err != nil:
		return err
	case sh.Cancelled:
		return ErrCancelled
	case t.state != Queued:
		return ErrState
	case e.Attempt != t.attempt+1:
		return ErrAttempt
	}
	t.attempt = e.Attempt
	t.holder = s.holders.intern(holder{e.Worker, e.Incarnation})
	t.inherited = false
	sh.setState(e.Index, Starting)
	return nil
}

// endAttempt ends the current attempt of a task. The order of events in the journal decides between a result and a
// cancellation: a result after JobCancelled is refused, and JobCancelled does not change a task that is Done.
func (s *State) endAttempt(e *Event) error {
	sh, t, err := s.find(e)
	switch {
	case err != nil:
		return err
	case t.state != Starting:
		return ErrState
	case e.Attempt != t.attempt:
		return ErrAttempt
	case e.Kind == TaskFinished && sh.Cancelled:
		return ErrCancelled
	}
	s.holders.release(t.holder)
	t.holder = 0
	switch e.Kind {
	case TaskFinished:
		sh.setName(e.Index, e.Object, ResultName(e.Task(), e.Attempt))
		sh.setState(e.Index, Done)
	case TaskFailed:
		sh.Detail = e.Detail
		t.failures += min(1, ^uint8(0)-t.failures)
		if e.Final && !sh.Cancelled {
			sh.setState(e.Index, Failed)
		} else {
			sh.setState(e.Index, Queued)
		}
	case TaskEvicted:
		sh.Counts.Evictions++
		if e.Object != "" {
			t.checkpoint = e.Attempt
			sh.setName(e.Index, e.Object, CheckpointName(e.Task(), e.Attempt))
		}
		sh.setState(e.Index, Queued)
	default:
		sh.setState(e.Index, Queued)
	}
	return nil
}

func (s *State) cancelJob(e *Event) error {
	j, sh := s.jobs[e.Job], s.shares[e.Job]
	if j == nil && sh == nil {
		return ErrUnknown
	}
	cancelsJob := j != nil && !j.Cancelled && !j.IsFinished()
	cancelsShare := sh != nil && !sh.Cancelled && !sh.IsFinished()
	if !cancelsJob && !cancelsShare {
		if (j != nil && j.Cancelled) || (sh != nil && sh.Cancelled) {
			return ErrCancelled
		}
		return ErrFinished
	}
	if cancelsJob {
		j.Cancelled = true
	}
	if cancelsShare {
		sh.Cancelled = true
		for i := range sh.tasks {
			if sh.tasks[i].state == Queued {
				sh.setState(sh.Range.From+uint32(i), Cancelled)
			}
		}
	}
	return nil
}

func (s *State) endShare(e *Event) error {
	j := s.jobs[e.Job]
	if j == nil {
		return ErrUnknown
	}
	if e.Share == nil || e.Counts == nil {
		return ErrMalformed
	}
	i := slices.IndexFunc(j.Shares, func(js JobShare) bool { return js.ShareRange == *e.Share })
	if i < 0 {
		return ErrUnknown
	}
	if j.Shares[i].Done {
		return ErrFinished
	}
	j.Shares[i].Done, j.Shares[i].Counts = true, *e.Counts
	if !slices.ContainsFunc(j.Shares, func(js JobShare) bool { return !js.Done }) {
		j.FinishedAt = max(e.At, 1)
	}
	return nil
}

func (s *State) closeShare(e *Event) error {
	sh := s.shares[e.Job]
	switch {
	case sh == nil:
		return ErrUnknown
	case sh.Closed:
		return ErrFinished
	case !sh.IsFinished():
		return ErrState
	}
	sh.close(e.At)
	return nil
}

func (s *State) forgetJob(e *Event) error {
	j, sh := s.jobs[e.Job], s.shares[e.Job]
	if j == nil && sh == nil {
		return ErrUnknown
	}
	if (j != nil && !j.IsFinished()) || (sh != nil && !sh.Closed) {
		return ErrState
	}
	delete(s.jobs, e.Job)
	delete(s.shares, e.Job)
	return nil
}

// Epoch returns the epoch of the latest event.
func (s *State) Epoch() ident.Epoch { return s.epoch }

// Job returns a job whose home is this partition, or nil; the caller must not modify it.
func (s *State) Job(id ident.Job) *Job { return s.jobs[id] }

// Jobs returns the jobs whose home is this partition, in no particular order.
func (s *State) Jobs() iter.Seq2[ident.Job, *Job] {
	return func(yield func(ident.Job, *Job) bool) {
		for id, j := range s.jobs {
			if !yield(id, j) {
				return
			}
		}
	}
}

// Share returns this partition's share of a job, or nil; the caller must not modify it.
func (s *State) Share(id ident.Job) *Share { return s.shares[id] }

// Shares returns the shares of this partition, in no particular order.
func (s *State) Shares() iter.Seq2[ident.Job, *Share] {
	return func(yield func(ident.Job, *Share) bool) {
		for id, sh := range s.shares {
			if !yield(id, sh) {
				return
			}
		}
	}
}

// Task returns a task of this partition, and false if its share does not exist or is closed.
func (s *State) Task(id ident.Task) (Task, bool) {
	sh := s.shares[id.Job]
	if sh == nil || sh.at(id.Index) == nil {
		return Task{}, false
	}
	return sh.view(id.Index, &s.holders), true
}

// NextQueued returns the first queued task of a job's share, and false if there is none or the share is cancelled.
func (s *State) NextQueued(job ident.Job) (Task, bool) {
	sh := s.shares[job]
	if sh == nil || sh.Cancelled {
		return Task{}, false
	}
	off, ok := sh.nextQueued(0)
	if !ok {
		return Task{}, false
	}
	return sh.view(sh.Range.From+off, &s.holders), true
}

// Active returns the tasks in state Starting, in no particular order.
func (s *State) Active() iter.Seq[Task] {
	return func(yield func(Task) bool) {
		for _, sh := range s.shares {
			left := sh.Counts.Running
			for i := range sh.tasks {
				if left == 0 {
					break
				}
				if sh.tasks[i].state != Starting {
					continue
				}
				left--
				if !yield(sh.view(sh.Range.From+uint32(i), &s.holders)) {
					return
				}
			}
		}
	}
}

// ActiveWorkers returns the workers with tasks in state Starting; a worker is yielded once per incarnation of its
// agent.
func (s *State) ActiveWorkers() iter.Seq[ident.Worker] {
	return func(yield func(ident.Worker) bool) {
		for h := range s.holders.index {
			if !yield(h.Worker) {
				return
			}
		}
	}
}

// ActiveOn returns the tasks in state Starting on a worker.
func (s *State) ActiveOn(w ident.Worker) []Task {
	var list []Task
	for t := range s.Active() {
		if t.Worker == w {
			list = append(list, t)
		}
	}
	return list
}

// MarkInherited marks all current attempts as started by an earlier owner.
func (s *State) MarkInherited() {
	for _, sh := range s.shares {
		for i := range sh.tasks {
			sh.tasks[i].inherited = sh.tasks[i].state == Starting
		}
	}
}

// Offered returns the counts of a share that has not been taken yet.
func Offered(r wire.Range) wire.Counts { return wire.Counts{Queued: r.To - r.From} }
