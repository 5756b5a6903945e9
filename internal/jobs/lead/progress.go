package lead

import (
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
)

const (
	maxStoredFailures = 16      // numbers of failed runs that a row holds for a task
	maxCheckpoint     = 64      // bytes reserved for the checkpoint of a task; a longer one is stored if the row has space
	maxTaskBytes      = 24      // of the progress of a task without failed runs and checkpoint
	maxNumberBytes    = 9       // of a number of a run
	maxStateBytes     = 4 << 10 // of the first page without tasks: the state, and a bit for each of spec.MaxTasks tasks
)

// page is a part of a job's progress that is stored in a row of its own. Page 0 holds the state of the job and which tasks
// are done. Each page holds the failed runs and checkpoints of a range of tasks, so that no row exceeds maxRowBytes.
type page struct {
	job    *job
	number int
}

// tasksPerPage returns the number of tasks of a job whose progress certainly fits into a row.
func tasksPerPage(s *spec.Job) int {
	size := maxTaskBytes + maxNumberBytes*min(max(1, s.MaxAttempts), maxStoredFailures)
	if slices.ContainsFunc(s.Steps, func(s spec.Step) bool { return s.Checkpoints }) {
		size += maxCheckpoint
	}
	return (maxRowBytes - maxStateBytes) / size
}

// pageOf returns the page that holds the failed runs and the checkpoint of a task.
func (j *job) pageOf(ordinal int) page { return page{j, ordinal / j.tasksPerPage} }

// pageCount returns the number of pages of the job's progress.
func (j *job) pageCount() int { return j.pageOf(len(j.tasks)-1).number + 1 }

// markDirty schedules the state of a job, and which of its tasks are done, for the next commit.
func (t *Term) markDirty(j *job) { t.dirty[page{j, 0}] = struct{}{} }

// markTaskDirty schedules the failed runs and the checkpoint of a task for the next commit.
func (t *Term) markTaskDirty(j *job, ordinal int) {
	t.dirty[j.pageOf(ordinal)] = struct{}{}
	if j.stored != j.state {
		t.markDirty(j)
	}
}

// restore applies a page of the progress that was read from the store. It returns the pages to which tasks in it belong; an
// earlier version stored all tasks in page 0.
func (j *job) restore(number int, a rows.JobProgress) map[page]struct{} {
	if number == 0 {
		j.restoreState(a)
	}
	pages := make(map[page]struct{})
	for _, n := range a.Tasks {
		if n.Task < 0 || n.Task >= len(j.tasks) {
			continue
		}
		task := &j.tasks[n.Task]
		task.failed, task.failedBefore, task.checkpoint = n.Failed, n.FailedBefore, n.Checkpoint
		pages[j.pageOf(n.Task)] = struct{}{}
	}
	return pages
}

func (j *job) restoreState(a rows.JobProgress) {
	j.state, j.stored = a.State, a.State
	if a.State.IsFinal() {
		j.endedAt = time.Now()
	}
	for i := range j.tasks {
		if i/8 < len(a.Done) && a.Done[i/8]&(1<<(i%8)) != 0 {
			j.setDone(i)
		}
	}
	j.begun = a.State != rows.Queued
}

// durable returns a page of the job's progress as it is stored. The pages of a job in a final state are empty.
func (p page) durable() rows.JobProgress {
	j := p.job
	var a rows.JobProgress
	if p.number == 0 {
		a.State = j.state
	}
	if j.state.IsFinal() {
		a.EndsAt = time.Now().UnixMilli()
		return a
	}
	if p.number == 0 {
		a.Done = make([]byte, (len(j.tasks)+7)/8)
		for i := range j.tasks {
			if j.tasks[i].done {
				a.Done[i/8] |= 1 << (i % 8)
			}
		}
	}
	first := p.number * j.tasksPerPage
	for i := first; i < min(first+j.tasksPerPage, len(j.tasks)); i++ {
		if t := &j.tasks[i]; !t.done && (len(t.failed) > 0 || t.checkpoint != "") {
			a.Tasks = append(a.Tasks, rows.TaskProgress{
				Task: i, Failed: t.failed, Checkpoint: t.checkpoint, FailedBefore: t.failedBefore,
			})
		}
	}
	return a
}

// encode returns a page as a row's value. It omits the checkpoints if the store would not accept the row with them; a task
// without a checkpoint starts from the beginning after a takeover.
func (p page) encode() ([]byte, error) {
	a := p.durable()
	value, err := rows.Encode(a)
	if err != nil || len(value) <= maxRowBytes {
		return value, err
	}
	for i := range a.Tasks {
		a.Tasks[i].Checkpoint = ""
	}
	a.Tasks = slices.DeleteFunc(a.Tasks, func(n rows.TaskProgress) bool { return len(n.Failed) == 0 })
	return rows.Encode(a)
}

// hasFailed reports whether the failure of a run is counted.
func (t *task) hasFailed(number int) bool {
	return slices.Contains(t.failed, number) || t.failedBefore > 0 && number < t.failed[0]
}

// addFailure counts the failure of a run. It keeps the numbers of the last runs only: a failure is reported again until it is
// stored, and by then few further runs of the task have failed.
func (t *task) addFailure(number int) {
	t.failed = append(t.failed, number)
	if excess := len(t.failed) - maxStoredFailures; excess > 0 {
		t.failed = slices.Delete(t.failed, 0, excess)
		t.failedBefore += excess
	}
}

// failures returns the number of failed runs.
func (t *task) failures() int { return t.failedBefore + len(t.failed) }
