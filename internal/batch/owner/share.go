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

// offerKey names a share of a job at home here; a partition holds at most one share of a job.
type offerKey struct {
	job       ident.Job
	partition ident.Partition
}

// offer is a share that another partition holds or is to take.
type offer struct {
	taken     bool // acknowledged
	cancelled bool // the cancellation is acknowledged
	counts    wire.Counts
	detail    string
	sent      time.Time
}

// offer notes the shares of a job that other partitions must take; it is called when the job is durable.
func (p *partition) offer(job ident.Job, j *part.Job) {
	for _, s := range j.Shares {
		if s.Partition != p.id && !s.Done {
			p.offers[offerKey{job, s.Partition}] = &offer{counts: part.Offered(s.Range)}
		}
	}
}

// repeatOffers sends the offers and cancellations that are not acknowledged.
func (p *partition) repeatOffers() {
	for key, of := range p.offers {
		j := p.state.Job(key.job)
		if j == nil {
			delete(p.offers, key)
			continue
		}
		if (of.taken && of.cancelled == j.Cancelled) || time.Since(of.sent) < repeatAfter {
			continue
		}
		for _, s := range j.Shares {
			if s.Partition == key.partition {
				p.sendOffer(key, of, j, s)
			}
		}
	}
}

func (p *partition) sendOffer(key offerKey, of *offer, j *part.Job, s part.JobShare) {
	if s.Done {
		delete(p.offers, key)
		return
	}
	of.sent = time.Now()
	cancelled := j.Cancelled
	p.afterDurable(func() {
		p.o.sendPeer(s.Partition, &wire.ShareOffer{
			Home: p.id, Partition: s.Partition, Spec: *j.Spec, Range: s.Range, Cancelled: cancelled,
		})
	})
}

// shareOffered takes a share or cancels one; it is acknowledged once that is durable. A share that is closed is
// acknowledged as well and never starts again.
func (p *partition) shareOffered(m *wire.ShareOffer) {
	job := m.Spec.Job
	sh := p.state.Share(job)
	if sh == nil {
		spec := m.Spec
		err := p.record(spec.Urgent, nil, &part.Event{
			Kind: part.ShareTaken, Job: job, Spec: &spec, Share: &part.Placed{Partition: m.Home, Range: m.Range},
		})
		if err != nil {
			p.refused("share offered", err)
			return
		}
		sh = p.state.Share(job)
		p.order.Add(spec.Team, job, spec.Urgent)
	}
	if sh.Range != m.Range || sh.Home != m.Home {
		p.refused("share offered", part.ErrExists)
		return
	}
	if m.Cancelled && !sh.Cancelled && !sh.IsFinished() {
		err := p.record(sh.Spec.Urgent, func() { p.cancelled(job) }, &part.Event{Kind: part.JobCancelled, Job: job})
		if err != nil {
			p.refused("share cancelled", err)
			return
		}
		p.noteFinished(job, sh)
	}
	p.sendShareAck(sh, m.Cancelled)
}

func (p *partition) sendShareAck(sh *part.Share, cancelled bool) {
	m := &wire.ShareAck{
		Home: sh.Home, Partition: p.id, Job: sh.Spec.Job, Range: sh.Range, Cancelled: cancelled, Counts: sh.Counts,
		Detail: p.detail(sh),
	}
	p.reported[sh.Spec.Job] = sh.Counts
	p.afterDurable(func() { p.o.sendPeer(m.Home, m) })
}

// detail says what keeps a share from finishing, or why its last task failed.
func (p *partition) detail(sh *part.Share) string {
	if d := p.waiting[sh.Spec.Job]; d != "" {
		return d
	}
	return sh.Detail
}

func (p *partition) refused(what string, err error) {
	if !errors.Is(err, errBusy) {
		p.o.log(event.RuleBroken, zap.Stringer("Partition", p.id), zap.String("Step", what), zap.Error(err))
	}
}

// shareAcknowledged notes that a share is taken, and its progress.
func (p *partition) shareAcknowledged(m *wire.ShareAck) {
	if of := p.offers[offerKey{m.Job, m.Partition}]; of != nil {
		of.taken, of.counts, of.detail = true, m.Counts, m.Detail
		of.cancelled = of.cancelled || m.Cancelled
	}
}

// noteFinished remembers a share whose last task has ended, so that its home learns of it.
func (p *partition) noteFinished(job ident.Job, sh *part.Share) {
	if _, ok := p.finished[job]; !ok && sh.IsFinished() && !sh.Closed {
		p.finished[job] = time.Time{}
		p.o.board.Forget(job)
		delete(p.learned, job)
	}
}

// repeatDone reports finished shares until their homes acknowledge them, and the progress of the others.
func (p *partition) repeatDone() {
	for job, sent := range p.finished {
		sh := p.state.Share(job)
		switch {
		case sh == nil || sh.Closed:
			delete(p.finished, job)
		case sh.Home == p.id:
			p.endHere(job, sh)
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

// endHere ends a share whose home is this partition.
func (p *partition) endHere(job ident.Job, sh *part.Share) {
	now, counts := time.Now().UnixNano(), sh.Counts
	err := p.record(sh.Spec.Urgent, nil,
		&part.Event{
			Kind: part.ShareDone, Job: job, Share: &part.Placed{Partition: p.id, Range: sh.Range}, Counts: &counts, At: now,
		},
		&part.Event{Kind: part.ShareClosed, Job: job, At: now})
	if err != nil {
		p.refused("share done", err)
		return
	}
	delete(p.finished, job)
}

// shareDone records the end of a share of a job at home here and acknowledges it once that is durable.
func (p *partition) shareDone(m *wire.ShareDone) {
	ack := func() {
		p.o.sendPeer(m.Partition, &wire.ShareDoneAck{Partition: m.Partition, Job: m.Job, Range: m.Range})
	}
	counts := m.Counts
	err := p.record(false, ack, &part.Event{
		Kind: part.ShareDone, Job: m.Job, Share: &part.Placed{Partition: m.Partition, Range: m.Range}, Counts: &counts,
		At: time.Now().UnixNano(),
	})
	switch {
	case errors.Is(err, part.ErrFinished):
		p.afterDurable(ack)
	case err != nil:
		p.refused("share done", err)
	default:
		delete(p.offers, offerKey{m.Job, m.Partition})
	}
}

// shareDoneAcknowledged closes a share: its tasks are dropped, its counts stay.
func (p *partition) shareDoneAcknowledged(m *wire.ShareDoneAck) {
	sh := p.state.Share(m.Job)
	if sh == nil || sh.Closed || sh.Range != m.Range {
		return
	}
	err := p.record(false, nil, &part.Event{Kind: part.ShareClosed, Job: m.Job, At: time.Now().UnixNano()})
	if err != nil {
		p.refused("share closed", err)
		return
	}
	delete(p.finished, m.Job)
	delete(p.reported, m.Job)
}

// forget drops jobs whose retention has ended, and closed shares of jobs with another home.
func (p *partition) forget() {
	now := time.Now()
	if now.Sub(p.swept) < retention/sweeps {
		return
	}
	p.swept = now
	limit := now.Add(-retention).UnixNano()
	var old []ident.Job
	for job, j := range p.state.Jobs() {
		if sh := p.state.Share(job); j.IsFinished() && j.FinishedAt < limit && (sh == nil || sh.Closed) {
			old = append(old, job)
		}
	}
	for job, sh := range p.state.Shares() {
		if sh.Closed && sh.ClosedAt < limit && p.state.Job(job) == nil {
			old = append(old, job)
		}
	}
	for _, job := range old {
		if err := p.record(false, nil, &part.Event{Kind: part.JobForgotten, Job: job}); err != nil {
			p.refused("job forgotten", err)
			return
		}
	}
}
