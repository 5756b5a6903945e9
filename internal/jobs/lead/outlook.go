package lead

import (
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/fcast"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	forecastEvery  = 200 * time.Millisecond // least time between computations of the forecast
	senderLifetime = 2 * time.Second        // after its last request, for which an entry counts as asking for forecasts
	// maxForecastBytes is less than a frame takes; longer names of services than usual could exceed it.
	maxForecastBytes = 48 << 10
	blockedAfter     = time.Second // for which a job has waited for its first run before its tasks count as blocked
)

// workKinds is the number of kinds of work: counted (index 0) and best-effort (index 1).
const workKinds = 2

func workKind(s *spec.Step) int {
	if s.BestEffort {
		return 1
	}
	return 0
}

// outlook holds what the forecast for the entries is computed from.
type outlook struct {
	senders  map[string]time.Time // last request, by address of the entry
	pools    map[fcast.Pool]*outlookPool
	order    []*outlookPool
	returns  fcast.Returns
	queues   map[queueKind]struct{} // of jobs that were added, at most fcast.MaxRatios
	at       time.Time              // of forecast
	forecast fcast.Forecast
}

// queueKind identifies the tasks of a queue whose run times have a common ratio to the declared ones.
type queueKind struct {
	queue      string
	bestEffort bool
}

// outlookPool is a pool with its classes, by priority, of the forecast in computation.
type outlookPool struct {
	pool    fcast.Pool
	rate    fcast.Rate
	classes map[int]*fcast.Class
	order   []*fcast.Class
}

func (o *outlook) pool(p fcast.Pool) *outlookPool {
	if o.pools == nil {
		o.pools = make(map[fcast.Pool]*outlookPool)
	}
	found := o.pools[p]
	if found == nil {
		found = &outlookPool{pool: p, classes: make(map[int]*fcast.Class)}
		o.pools[p] = found
		o.order = append(o.order, found)
	}
	return found
}

func (p *outlookPool) class(priority int) *fcast.Class {
	c := p.classes[priority]
	if c == nil {
		c = &fcast.Class{
			Priority: priority, Waiting: make([]float64, fcast.DueBuckets), Returning: make([]float64, fcast.MaxRejections),
		}
		p.classes[priority] = c
		p.order = append(p.order, c)
	}
	return c
}

// jobOutlook is what the forecast needs of a job. It is computed on first use and after each task that is done.
type jobOutlook struct {
	isKnown   bool
	isCounted bool                       // not of a job with a schedule or with long-running tasks
	work      [workKinds]float64         // of the unfinished tasks
	smallest  [workKinds]sizes.Resources // amounts that each task which counts as evidence of a full pool exceeds or equals
	has       [workKinds]bool            // the job has such tasks
	classes   [workKinds]*fcast.Class
}

// outlookOf returns the outlook of a job.
func (t *Term) outlookOf(j *job) *jobOutlook {
	o := &j.outlook
	if o.isKnown {
		return o
	}
	o.isKnown = true
	o.isCounted = j.spec.Occurrences == 0 && !j.spec.IsLongRunning()
	if !o.isCounted {
		return o
	}
	o.work, o.has = [workKinds]float64{}, [workKinds]bool{}
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		k := workKind(s)
		if o.classes[k] == nil {
			o.classes[k] = t.outlook.pool(fcast.Pool{Service: j.spec.Service, BestEffort: s.BestEffort}).class(j.spec.Priority)
			t.outlook.addQueue(queueKind{j.spec.Queue, s.BestEffort})
		}
		left := s.Count - j.done[i]
		o.work[k] += float64(left) * fcast.TaskWork(s)
		if left == 0 || !isPlain(s) {
			continue
		}
		if o.has[k] {
			o.smallest[k] = minResources(o.smallest[k], s.Size)
		} else {
			o.smallest[k], o.has[k] = s.Size, true
		}
	}
	return o
}

// isPlain reports whether a task of the step that finds no place shows that its pool is full.
func isPlain(s *spec.Step) bool {
	return !s.Gang && !s.OneRack && s.Label == "" && s.PerWorker == 0 && !s.LongRunning
}

func minResources(a, b sizes.Resources) sizes.Resources {
	return sizes.Resources{
		Processors: min(a.Processors, b.Processors), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// outlookCredit is the work of a run that the rate of its pool includes.
type outlookCredit struct {
	percent int // progress up to which work is counted
	from    int // progress at which the run was first seen; what it inherited is not counted
}

// creditProgress counts the progress of a run as completed work.
func (t *Term) creditProgress(r *run, percent int) {
	work := fcast.TaskWork(r.step) * float64(percent-r.credit.percent) / 100
	if work == 0 {
		return
	}
	r.credit.percent = percent
	r.job.credited[workKind(r.step)] += work
	t.outlook.pool(fcast.Pool{Service: r.job.spec.Service, BestEffort: r.step.BestEffort}).rate.Add(work)
}

// creditReport counts the progress of a run that a complete report lists.
func (t *Term) creditReport(r *run, percent int) {
	if !r.listed && (r.resumed || r.commandSeq == 0) {
		t.creditFirst(r, percent)
		return
	}
	t.creditProgress(r, percent)
}

// creditFirst records the progress at which a run is first seen.
func (t *Term) creditFirst(r *run, percent int) {
	r.job.credited[workKind(r.step)] += fcast.TaskWork(r.step) * float64(percent-r.credit.percent) / 100
	r.credit = outlookCredit{percent: percent, from: percent}
}

// creditEnd counts the rest of a run that is done, and takes back the work of one that is lost.
func (t *Term) creditEnd(r *run, isDone bool) {
	switch {
	case isDone:
		t.creditProgress(r, 100)
	case !r.step.Checkpoints:
		t.creditProgress(r, r.credit.from)
	}
	r.job.credited[workKind(r.step)] -= fcast.TaskWork(r.step) * float64(r.credit.percent) / 100
	r.credit = outlookCredit{}
}

// recordRejection remembers a job that an entry has rejected.
func (t *Term) recordRejection(m *wire.JobAsk, now time.Time) {
	var r fcast.Rejection
	if err := wire.Unpack(m.Packed, &r); err != nil || !r.Check() || spec.ID(m.ID).Check() != nil {
		event.Log(t.cfg.Log, event.InputRefused, zap.String("Job", m.ID), zap.Error(err))
		return
	}
	if t.jobs[spec.ID(m.ID)] == nil {
		t.outlook.returns.Record(spec.ID(m.ID), r, now)
	}
}

// sendForecast sends a forecast if the request asks for one, and counts the entry.
func (t *Term) sendForecast(ev requested, now time.Time) {
	if len(ev.m.Packed) == 0 {
		return
	}
	o := &t.outlook
	if o.senders == nil {
		o.senders = make(map[string]time.Time)
	}
	o.senders[string(ev.m.Packed)] = now
	if o.at.IsZero() || now.Sub(o.at) >= forecastEvery {
		t.computeForecast(now)
	}
	f := o.forecast
	f.Age = now.Sub(o.at).Milliseconds()
	packed, err := wire.Pack(&f)
	if err != nil || len(packed) > maxForecastBytes {
		return // the entry accepts everything
	}
	if err := ev.link.Send(&wire.JobForecast{Number: ev.m.Number, Packed: packed}); err != nil {
		ev.link.Close(err)
	}
}

// computeForecast computes the forecast from the active jobs, and observes which pools are full.
func (t *Term) computeForecast(now time.Time) {
	o := &t.outlook
	o.at = now
	for _, p := range o.order {
		for _, c := range p.order {
			c.Running, c.Blocked = 0, c.Blocked[:0]
			clear(c.Waiting)
			clear(c.Returning)
		}
	}
	mayStart, largest := t.mayGrant(now), t.largestWorkers()
	for _, j := range t.active {
		if j.state.IsFinal() {
			continue
		}
		if v := t.outlookOf(j); v.isCounted {
			t.addWork(j, v, now)
			if mayStart {
				t.addBlocked(j, v, largest[workerSet{service: j.spec.Service}], now)
			}
		}
	}
	o.returns.Each(now, func(r *fcast.Rejection, index int) {
		if p := o.pools[r.Pool]; p != nil && p.classes[r.Priority] != nil {
			p.classes[r.Priority].Returning[index] += r.Work
		}
	})
	o.forecast = fcast.Forecast{Entries: o.countSenders(now)}
	classes := 0
	for _, p := range o.order {
		isFull := false
		f := fcast.PoolForecast{Pool: p.pool}
		for _, c := range p.order {
			isFull = isFull || len(c.Blocked) > 0
			if classes < fcast.MaxClasses {
				f.Classes = append(f.Classes, *c)
				classes++
			}
		}
		p.rate.Observe(now, isFull)
		// Jobs of a pool that is left out, or that has room, are accepted.
		if f.Rate = p.rate.PerSecond(); f.Rate > 0 && isFull && len(f.Classes) == len(p.order) {
			o.forecast.Pools = append(o.forecast.Pools, f)
		} else {
			classes -= len(f.Classes)
		}
	}
	for q := range o.queues {
		if ratio, runs := t.runTimes.Queue(q.queue, q.bestEffort); runs >= minRatioRuns {
			o.forecast.Ratios = append(o.forecast.Ratios, fcast.Ratio{Queue: q.queue, BestEffort: q.bestEffort, Factor: ratio})
		}
	}
}

// addWork adds the work of a job, divided among its current runs and the rest by the number of tasks. Work that has lost
// all value counts too, since accepted jobs are not dropped and compareUrgency does not put it last: without it, 76 instead
// of 130 of 200 jobs were done while they had value (TestAdmissionWithWrongEstimates, run times right, 60 s).
func (t *Term) addWork(j *job, v *jobOutlook, now time.Time) {
	running := float64(j.left-j.waiting) / float64(max(1, j.left))
	left := j.lastUseful.Sub(now)
	for k := range workKinds {
		c := v.classes[k]
		if c == nil {
			continue
		}
		work := max(0, v.work[k]-j.credited[k])
		c.Running += work * running
		c.Waiting[fcast.DueBucket(left)] += work * (1 - running)
	}
}

// addBlocked adds the sizes of the job's tasks that wait for capacity although they may start. A pass without a place for
// a task shows this, and so does a job that has not begun for blockedAfter. Tasks larger than any worker are left out, since
// they wait however much capacity is free.
func (t *Term) addBlocked(j *job, v *jobOutlook, largest sizes.Resources, now time.Time) {
	isWaiting := j.running == 0 && !j.begun && now.Sub(j.addedAt) > blockedAfter
	if j.waiting == 0 || !isWaiting && len(j.blocks) == 0 || j.inherited && t.unreconciled > 0 || t.isAdvised(j) {
		return
	}
	isNews := false
	for k := range workKinds {
		isNews = isNews || v.has[k] && !v.classes[k].IsBlocked(v.smallest[k])
	}
	if !isNews {
		return
	}
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if _, isBlocked := j.blocks[blockKey{step: i}]; isPlain(s) && s.Size.Fits(largest) && (isBlocked || isWaiting && len(s.After) == 0) {
			v.classes[workKind(s)].AddBlocked(s.Size)
		}
	}
}

func (o *outlook) addQueue(q queueKind) {
	if o.queues == nil {
		o.queues = make(map[queueKind]struct{})
	}
	if len(o.queues) < fcast.MaxRatios {
		o.queues[q] = struct{}{}
	}
}

func (o *outlook) countSenders(now time.Time) int {
	for sender, at := range o.senders {
		if now.Sub(at) > senderLifetime {
			delete(o.senders, sender)
		}
	}
	return len(o.senders)
}
