package fcast

import (
	"math"
	"time"
)

const (
	// rejectAbove and rejectAboveAgain are the shares of its useful time from which the forecast end of a job rejects it, the
	// latter while jobs of its class are being rejected. The margin above 1 is for jobs whose declared work is wrong.
	rejectAbove      = 1.25
	rejectAboveAgain = 1.0
	minRatio         = 1.0 / 3 // bounds of the correction of declared run times
	maxRatio         = 3.0
	minRetryAfter    = time.Second
	maxRetryAfter    = time.Minute // the forecast says little about what is later
)

// Reason says why a job is admitted or rejected.
type Reason uint8

// Reasons. Backlog and Returning are those of rejections.
const (
	Exempt        Reason = iota + 1 // long-running tasks, a schedule, or no completion target
	NoForecast                      // none was received, or it is older than MaxAge
	RateUnknown                     // no completed work was observed while tasks waited
	FreeCapacity                    // a task of the job may be able to start at once
	InTime                          // the job can be done before it has lost all value
	AlreadyStored                   // another submission of the job is being accepted
	Backlog                         // the accepted work before the job takes too long
	Returning                       // the work of callers that were rejected before takes the capacity that is left
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Reason -output reason_string.go

// Since describes what an entry knows beyond its forecast.
type Since struct {
	Age         time.Duration // of the forecast
	Work        float64       // that the entry has accepted since, of the job's pool, at its priority and above
	IsRejecting bool          // the entry has rejected a job of the class lately
}

// Decision is the answer to an Ask.
type Decision struct {
	Admit      bool
	Reason     Reason
	RetryAfter time.Duration // whole seconds, at least 1, for a rejected job
	Wait       time.Duration // forecast time until the work before the job is done; 0 if there is no forecast of it
	Need       time.Duration // forecast run time of the job after that
	Useful     time.Duration // time after which the job has lost all value
}

// Decide decides whether a job is accepted; f is nil without a forecast. It rejects a job only if no task of it can start
// and if, at the observed rate, the work before it takes so long that the job cannot be done while it has any value.
// Other entries are assumed to have accepted as much as this one since the forecast.
func Decide(f *Forecast, a Ask, s Since) Decision {
	ratio := 1.0
	if f != nil {
		ratio = f.ratio(&a)
	}
	d := Decision{Admit: true, Useful: a.useful(ratio)}
	switch {
	case a.IsExempt || d.Useful <= 0:
		d.Reason = Exempt
		return d
	case f == nil || s.Age > MaxAge || s.Age < 0:
		d.Reason = NoForecast
		return d
	}
	p := f.pool(a.Pool)
	if p == nil || p.Rate <= 0 {
		d.Reason = RateUnknown
		return d
	}
	if !f.isBlocked(&a) {
		d.Reason = FreeCapacity
		return d
	}
	ahead, returning := p.ahead(&a)
	ahead += s.Work * float64(max(1, f.Entries))
	d.Wait = p.timeFor(ahead)
	// A job that would take too long even without other work is not rejected for its own size alone.
	d.Need = min(d.Useful, max(time.Duration(float64(a.Chain)*ratio), p.timeFor(a.Work)))
	limit := rejectAbove
	if s.IsRejecting {
		limit = rejectAboveAgain
	}
	limit *= float64(d.Useful)
	// Expected work counts at most as much as accepted work, since some callers do not return.
	reserved := p.timeFor(min(returning, ahead))
	switch {
	case float64(d.Wait+d.Need) > limit:
		d.Reason = Backlog
	case float64(d.Wait+reserved+d.Need) > limit:
		d.Reason = Returning
		d.Wait += reserved
	default:
		d.Reason = InTime
		return d
	}
	d.Admit = false
	d.RetryAfter = retryAfter(d, p.timeFor(returning+a.Work), a.Random)
	return d
}

// retryAfter returns when a rejected caller returns: after the time in which the work before the job decreases so far that
// the job can be in time, and within the time that the other rejected jobs need from then on.
func retryAfter(d Decision, returning time.Duration, random float64) time.Duration {
	first := max(0, d.Wait+d.Need-d.Useful)
	spread := max(returning, first/2, minRetryAfter)
	at := min(float64(first)+random*float64(spread), float64(maxRetryAfter)*(1+random)/2)
	return max(minRetryAfter, time.Duration(math.Ceil(at/float64(time.Second)))*time.Second)
}

// ahead returns the work that is done before the job: that of higher priorities, and at its own priority that in progress
// and that which loses its value before the job does. Of the jobs whose callers are expected back it returns those of
// higher priorities, and at its own priority those that were rejected more often. A job that lasts longer is before the
// job if it becomes useless sooner, whatever the queue's ratio, so that the declared times are compared.
func (p *PoolForecast) ahead(a *Ask) (accepted, returning float64) {
	useful := a.useful(1)
	for i := range p.Classes {
		c := &p.Classes[i]
		if c.Priority > a.Priority {
			continue
		}
		accepted += c.Running
		for k, w := range c.Waiting {
			accepted += w * shareBefore(k, useful, c.Priority < a.Priority)
		}
		for k, w := range c.Returning {
			if c.Priority < a.Priority || k >= min(a.Rejections, MaxRejections) {
				returning += w
			}
		}
	}
	return accepted, returning
}

// shareBefore returns the share of the work in a bucket that is due within a time.
func shareBefore(bucket int, left time.Duration, all bool) float64 {
	last := DueBucket(left)
	switch {
	case all || bucket < last:
		return 1
	case bucket > last:
		return 0
	case bucket == DueBuckets-1:
		return 1
	}
	from, to := time.Duration(0), time.Second<<bucket
	if bucket > 0 {
		from = to / 2
	}
	return float64(left-from) / float64(to-from)
}

// timeFor returns the time in which the pool completes an amount of work.
func (p *PoolForecast) timeFor(work float64) time.Duration {
	const limit = float64(365 * 24 * time.Hour)
	return time.Duration(min(limit, work/p.Rate*float64(time.Second)))
}

func (f *Forecast) pool(p Pool) *PoolForecast {
	for i := range f.Pools {
		if f.Pools[i].Pool == p {
			return &f.Pools[i]
		}
	}
	return nil
}

// isBlocked reports whether no task of the job can start: for each of those that may start first, a task that is no larger,
// of the same pool and of the job's priority or a higher one, waits for capacity.
func (f *Forecast) isBlocked(a *Ask) bool {
	for _, s := range a.Starts {
		p := f.pool(s.Pool)
		if p == nil {
			return false
		}
		found := false
		for i := range p.Classes {
			c := &p.Classes[i]
			found = found || c.Priority <= a.Priority && c.IsBlocked(s.Size)
		}
		if !found {
			return false
		}
	}
	return len(a.Starts) > 0
}

func (f *Forecast) ratio(a *Ask) float64 {
	for _, r := range f.Ratios {
		if r.Queue == a.Queue && r.BestEffort == a.Pool.BestEffort {
			return min(max(r.Factor, minRatio), maxRatio)
		}
	}
	return 1
}
