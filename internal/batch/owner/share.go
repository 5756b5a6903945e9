package owner

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// offerKey identifies a share of a job with its home here; a partition has at most one share of a job.
type offerKey struct {
	job       ident.Job
	partition ident.Partition
}

// offer is a share that is assigned to another partition.
type offer struct {
	acknowledged       bool
	cancelAcknowledged bool
	counts             wire.Counts
	detail             string
	sent               time.Time
}

// offer adds offers for the shares of a job that are assigned to other partitions. The job must be durable.
func (p *partition) offer(job ident.Job, j *part.Job) {
	for _, s := range j.Shares {
		if s.Partition != p.id && !s.Done {
			p.offers[offerKey{job, s.Partition}] = &offer{counts: part.Offered(s.Range)}
		}
	}
}

// repeatOffers sends the offers and cancellations that are not acknowledged, each at most once per repeatAfter.
func (p *partition) repeatOffers() {
	for key, o := range p.offers {
		j := p.state.Job(key.job)
		if j == nil {
			delete(p.offers, key)
			continue
		}
		if (o.acknowledged && o.cancelAcknowledged == j.Cancelled) || time.Since(o.sent) < repeatAfter {
			continue
		}
		for _, s := range j.Shares {
			if s.Partition == key.partition {
				p.sendOffer(key, o, j, s)
			}
		}
	}
}

func (p *partition) sendOffer(key offerKey, o *offer, j *part.Job, s part.JobShare) {
	if s.Done {
		delete(p.offers, key)
		return
	}
	o.sent = time.Now()
	cancelled := j.Cancelled
	p.afterDurable(func() {
		p.o.sendPeer(s.Partition, &wire.ShareOffer{
			Home: p.id, Partition: s.Partition, Spec: *j.Spec, Range: s.Range, Cancelled: cancelled,
		})
	})
}

// shareOffered accepts or cancels a share and acknowledges it once the event is durable. It also acknowledges a closed
// share, which never starts again.
func (p *partition) shareOffered(m *wire.ShareOffer) {
	job := m.Spec.Job
	sh := p.state.Share(job)
	if sh == nil {
		spec := m.Spec
		err := p.record(spec.Urgent, nil, &part.Event{
			Kind: part.ShareTaken, Job: job, Spec: &spec, Share: &part.ShareRange{Partition: m.Home, Range: m.Range},
		})
		if err != nil {
			p.logRefused("share offered", err)
			return
		}
		sh = p.state.Share(job)
		p.order.Add(spec.Team, job, spec.Urgent)
	}
	if sh.Range != m.Range || sh.Home != m.Home {
		p.logRefused("share offered", part.ErrExists)
		return
	}
	if m.Cancelled && !sh.Cancelled && !sh.IsFinished() {
		err := p.record(sh.Spec.Urgent, func() { p.cancelled(job) }, &part.Event{Kind: part.JobCancelled, Job: job})
		if err != nil {
			p.logRefused("share cancelled", err)
			return
		}
		p.noteFinished(job, sh)
	}
	p.sendShareAck(sh, m.Cancelled)
}

// sendShareAck acknowledges a share to its home and reports its progress.
func (p *partition) sendShareAck(sh *part.Share, cancelled bool) {
	m := &wire.ShareAck{
		Home: sh.Home, Partition: p.id, Job: sh.Spec.Job, Range: sh.Range, Cancelled: cancelled, Counts: sh.Counts,
		Detail: p.detail(sh),
	}
	p.reported[sh.Spec.Job] = sh.Counts
	p.afterDurable(func() { p.o.sendPeer(m.Home, m) })
}

// detail returns why a share cannot be placed, or the cause of the last failure of one of its tasks.
func (p *partition) detail(sh *part.Share) string {
	if d := p.unplaceable[sh.Spec.Job]; d != "" {
		return d
	}
	return sh.Detail
}

// logRefused logs an event that the state rejected; errBusy is not logged, since the step is repeated.
func (p *partition) logRefused(step string, err error) {
	if !errors.Is(err, errBusy) {
		p.o.log(event.PartitionEventRefused, zap.Stringer("Partition", p.id), zap.String("Step", step), zap.Error(err))
	}
}

// shareAcknowledged marks an offer as accepted and updates the progress of the share.
func (p *partition) shareAcknowledged(m *wire.ShareAck) {
	if o := p.offers[offerKey{m.Job, m.Partition}]; o != nil {
		o.acknowledged, o.counts, o.detail = true, m.Counts, m.Detail
		o.cancelAcknowledged = o.cancelAcknowledged || m.Cancelled
	}
}

// noteFinished schedules the report of a share to its home if all of its tasks have ended, and drops the data that only
// placement needs.
func (p *partition) noteFinished(job ident.Job, sh *part.Share) {
	if _, ok := p.finished[job]; !ok && sh.IsFinished() && !sh.Closed {
		p.finished[job] = time.Time{}
		p.o.board.Forget(job)
		delete(p.peakUsage, job)
	}
}

// repeatDone reports finished shares to their homes until these acknowledge them, and the progress of other shares.
func (p *partition) repeatDone() {
	for job, sent := range p.finished {
		sh := p.state.Share(job)
		switch {
		case sh == nil || sh.Closed:
			delete(p.finished, job)
		case sh.Home == p.id:
			p.closeLocalShare(job, sh)
		case time.Since(sent) >= repeatAfter:
			p.finished[job] = time.Now()
			m := &wire.ShareDone{
				Home: sh.Home, Partition: p.id, Job: job, Range: sh.Range, Counts: sh.Counts, Detail: sh.Detail,
			}
			p.afterDurable(func() { p.o.sendPeer(m.Home, m) })
		}
	}
	for job, sh := range p.state.Shares() {
		if !sh.Closed && sh.Home != p.id && p.reported[job] != sh.Counts {
			p.sendShareAck(sh, sh.Cancelled)
		}
	}
}

// closeLocalShare records the end of a finished share whose home is this partition.
func (p *partition) closeLocalShare(job ident.Job, sh *part.Share) {
	now, counts := time.Now().UnixNano(), sh.Counts
	err := p.record(sh.Spec.Urgent, nil,
		&part.Event{
			Kind: part.ShareDone, Job: job, Share: &part.ShareRange{Partition: p.id, Range: sh.Range}, Counts: &counts, At: now,
		},
		&part.Event{Kind: part.ShareClosed, Job: job, At: now})
	if err != nil {
		p.logRefused("share done", err)
		return
	}
	delete(p.finished, job)
}

// shareDone records the end of a share of a job with its home here and acknowledges it once the event is durable.
func (p *partition) shareDone(m *wire.ShareDone) {
	ack := func() {
		p.o.sendPeer(m.Partition, &wire.ShareDoneAck{Partition: m.Partition, Job: m.Job, Range: m.Range})
	}
	counts := m.Counts
	err := p.record(false, ack, &part.Event{
		Kind: part.ShareDone, Job: m.Job, Share: &part.ShareRange{Partition: m.Partition, Range: m.Range}, Counts: &counts,
		At: time.Now().UnixNano(),
	})
	switch {
	case errors.Is(err, part.ErrFinished):
		p.afterDurable(ack)
	case err != nil:
		p.logRefused("share done", err)
	default:
		delete(p.offers, offerKey{m.Job, m.Partition})
	}
}

// shareDoneAcknowledged closes a share, which drops its tasks and retains its counts.
func (p *partition) shareDoneAcknowledged(m *wire.ShareDoneAck) {
	sh := p.state.Share(m.Job)
	if sh == nil || sh.Closed || sh.Range != m.Range {
		return
	}
	err := p.record(false, nil, &part.Event{Kind: part.ShareClosed, Job: m.Job, At: time.Now().UnixNano()})
	if err != nil {
		p.logRefused("share closed", err)
		return
	}
	delete(p.finished, m.Job)
	delete(p.reported, m.Job)
}

// expireJobs drops finished jobs, and closed shares of jobs with another home, after the retention.
func (p *partition) expireJobs() {
	now := time.Now()
	if now.Sub(p.lastSweep) < retention/sweepsPerRetention {
		return
	}
	p.lastSweep = now
	limit := now.Add(-retention).UnixNano()
	var expired []ident.Job
	for job, j := range p.state.Jobs() {
		if sh := p.state.Share(job); j.IsFinished() && j.FinishedAt < limit && (sh == nil || sh.Closed) {
			expired = append(expired, job)
		}
	}
	for job, sh := range p.state.Shares() {
		if sh.Closed && sh.ClosedAt < limit && p.state.Job(job) == nil {
			expired = append(expired, job)
		}
	}
	for _, job := range expired {
		if err := p.record(false, nil, &part.Event{Kind: part.JobForgotten, Job: job}); err != nil {
			p.logRefused("job forgotten", err)
			return
		}
	}
}
