package intake

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/jobs/fcast"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	// verifyTimeout limits the check that a job to be rejected has not been accepted before.
	verifyTimeout = 250 * time.Millisecond
	// maxVerifications is the number of such checks at the same time, each with a read of the store.
	maxVerifications = 32
	// rejectingTime is how long after a rejection jobs of the class are rejected at a lower backlog.
	rejectingTime = 2 * time.Second
	// acceptedTime is how long an entry remembers the jobs that it has stored, which covers a read of the store that is
	// older than the write.
	acceptedTime = 2 * verifyTimeout
	// notifyTime is how long a notification of the leader may take; the next forecasts may not include its job.
	notifyTime = 100 * time.Millisecond
)

// AdmissionConfig configures an Admission.
type AdmissionConfig struct {
	Random   func() float64     // from 0 up to but not including 1
	OnReject func(fcast.Reason) // called for each rejected job; may be nil
	Log      *zap.Logger
}

// Admission decides which jobs an entry accepts, by the newest forecast of the leader. Its methods are safe for concurrent
// use.
type Admission struct {
	cfg           AdmissionConfig
	verifications chan struct{} // checks in progress

	mu           sync.Mutex
	forecast     *fcast.Forecast // nil before the first
	computedAt   time.Time       // earliest time at which forecast may have been computed
	isUnreadable bool            // the last forecast could not be read
	recent       fcast.Recent
	rejecting    map[rejectedClass]time.Time // last rejection
	accepting    map[spec.ID]int             // submissions that are being stored or were stored lately
}

type rejectedClass struct {
	pool     fcast.Pool
	priority int
}

// NewAdmission returns an Admission without a forecast, which accepts all jobs.
func NewAdmission(cfg AdmissionConfig) *Admission {
	return &Admission{
		cfg: cfg, verifications: make(chan struct{}, maxVerifications),
		rejecting: make(map[rejectedClass]time.Time), accepting: make(map[spec.ID]int),
	}
}

// Update replaces the forecast by an encoded one that was requested at a given time. A forecast that cannot be read is
// logged, and all jobs are accepted then.
func (a *Admission) Update(packed []byte, requestedAt time.Time) {
	f := &fcast.Forecast{}
	err := wire.Unpack(packed, f)
	if err == nil {
		err = f.Check()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if !a.isUnreadable {
			event.Log(a.cfg.Log, event.ForecastUnreadable, zap.Int("Bytes", len(packed)), zap.Error(err))
		}
		a.forecast, a.isUnreadable = nil, true
		return
	}
	a.forecast, a.isUnreadable = f, false
	a.computedAt = requestedAt.Add(-time.Duration(f.Age) * time.Millisecond)
	a.recent.Forget(a.computedAt.Add(-notifyTime))
}

// ForecastAge returns the age of the forecast in seconds, and -1 without one.
func (a *Admission) ForecastAge(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.forecast == nil {
		return -1
	}
	return now.Sub(a.computedAt).Seconds()
}

// decide decides about a job. If it is admitted, the job counts as accepted until it is stored.
func (a *Admission) decide(id spec.ID, ask *fcast.Ask) (fcast.Decision, *fcast.Accepted) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.accepting[id] > 0 {
		return fcast.Decision{Admit: true, Reason: fcast.AlreadyStored}, a.accept(id, &fcast.Ask{})
	}
	d := a.evaluate(ask, now)
	if !d.Admit {
		return d, nil
	}
	return d, a.accept(id, ask)
}

// evaluate decides about a job without recording the decision; a.mu is held.
func (a *Admission) evaluate(ask *fcast.Ask, now time.Time) fcast.Decision {
	rejectedAt := a.rejecting[rejectedClass{ask.Pool, ask.Priority}]
	return fcast.Decide(a.forecast, *ask, fcast.Since{
		Age: now.Sub(a.computedAt), Work: a.recent.Work(ask.Pool, ask.Priority),
		IsRejecting: !rejectedAt.IsZero() && now.Sub(rejectedAt) < rejectingTime,
	})
}

// Preview returns the decision about a job that would be submitted now for the first time, and changes nothing. RetryAfter
// is the shortest that its caller could get.
func (a *Admission) Preview(j *spec.Job) fcast.Decision {
	ask := fcast.NewAsk(j)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evaluate(&ask, time.Now())
}

// accept counts a job as being stored; a.mu is held.
func (a *Admission) accept(id spec.ID, ask *fcast.Ask) *fcast.Accepted {
	a.accepting[id]++
	return a.recent.Add(ask)
}

// admitAnyway accepts a job that may have been accepted before, and whose work the forecast may include.
func (a *Admission) admitAnyway(id spec.ID) *fcast.Accepted {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accept(id, &fcast.Ask{})
}

// reject decides that a job is rejected, unless another submission of it is being stored at this entry.
func (a *Admission) reject(id spec.ID, ask *fcast.Ask, d fcast.Decision) *fcast.Accepted {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.accepting[id] > 0 {
		return a.accept(id, &fcast.Ask{})
	}
	a.rejecting[rejectedClass{ask.Pool, ask.Priority}] = time.Now()
	if a.cfg.OnReject != nil {
		a.cfg.OnReject(d.Reason)
	}
	return nil
}

// stored records the end of a submission that was admitted.
func (a *Admission) stored(id spec.ID, admitted *fcast.Accepted) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.recent.Stored(admitted, now)
	if now.Sub(a.computedAt) > fcast.MaxAge {
		a.recent.Forget(now) // no forecast does it, as none arrives
	}
	time.AfterFunc(acceptedTime, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.accepting[id]--; a.accepting[id] <= 0 {
			delete(a.accepting, id)
		}
	})
}

// admit decides about a job before anything of it is stored. It returns nil for a rejected job, and when its caller
// should return. Before a rejection, it asks the leader and the store whether the job has been accepted before, and the
// leader how often it was rejected; without both answers the job is accepted.
func (in *Intake) admit(ctx context.Context, j *spec.Job) (admitted *fcast.Accepted, retryAfter time.Duration) {
	a := in.cfg.Admission
	ask := fcast.NewAsk(j)
	ask.Random = a.cfg.Random()
	d, admitted := a.decide(j.ID, &ask)
	if d.Admit {
		return admitted, 0
	}
	rejections, isNew := in.verifyNew(ctx, j.ID)
	if !isNew {
		return a.admitAnyway(j.ID), 0
	}
	if ask.Rejections = rejections; rejections > 0 {
		if d, admitted = a.decide(j.ID, &ask); d.Admit {
			return admitted, 0
		}
	}
	if admitted := a.reject(j.ID, &ask, d); admitted != nil {
		return admitted, 0
	}
	if in.cfg.OnSubmit != nil {
		in.cfg.OnSubmit(NotDone)
	}
	event.Log(in.cfg.Log, event.JobTurnedAway, zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue),
		zap.Stringer("Reason", d.Reason), zap.Duration("Wait", d.Wait), zap.Duration("Need", d.Need),
		zap.Duration("Useful", d.Useful), zap.Duration("RetryAfter", d.RetryAfter), zap.Int("Rejections", rejections))
	in.notifyRejection(j.ID, &ask, d)
	return nil, d.RetryAfter
}

// notifyRejection reports a rejected job to the leader, so that other entries know of it.
func (in *Intake) notifyRejection(id spec.ID, ask *fcast.Ask, d fcast.Decision) {
	packed, err := wire.Pack(&fcast.Rejection{
		Pool: ask.Pool, Priority: ask.Priority, Work: ask.Work, RetryAfter: d.RetryAfter.Milliseconds(),
	})
	if err != nil {
		return // the rejection is not counted
	}
	in.cfg.Leader.Notify(in.cfg.Leader.Epoch(), &wire.JobAsk{Action: wire.JobRejected, ID: string(id), Packed: packed})
}

// verifyNew reports whether the leader and the store answer in time and neither knows the job, and how often the job was
// rejected.
func (in *Intake) verifyNew(ctx context.Context, id spec.ID) (rejections int, isNew bool) {
	// A read that is cancelled, other than one that times out, does not count as a failure of the store.
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(verifyTimeout, cancel).Stop()
	select {
	case in.cfg.Admission.verifications <- struct{}{}:
		defer func() { <-in.cfg.Admission.verifications }()
	case <-limited.Done():
		return 0, false
	}
	type answer struct {
		tell *wire.JobTell
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		t, err := in.cfg.Leader.Request(limited, &wire.JobAsk{Action: wire.JobState, ID: string(id)})
		answers <- answer{t, err}
	}()
	p, err := in.cfg.Store.Read(limited, rows.JobRef(in.cfg.Cell, id).One())
	if err != nil || len(p.Rows) > 0 {
		return 0, false
	}
	r := <-answers
	if r.err != nil || r.tell.Verdict != wire.VerdictUnknown {
		return 0, false
	}
	return int(r.tell.State), true
}
