package owner

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Submit accepts a job in its home partition and replies once the job is durable: 201, 200 for a repeated submission,
// 409 for the id of another job or of one forgotten recently, 400 for an invalid job, 500 when the state rejects it,
// 503 when this entry does not own the partition or is busy, 504 when the outcome is unknown. After 503 and 504 the
// client may repeat the submission with the same id.
func (o *Owner) Submit(ctx context.Context, m *wire.JobSubmit) *wire.JobReply {
	if err := validate(&m.Spec); err != nil {
		return &wire.JobReply{Status: http.StatusBadRequest, Detail: err.Error()}
	}
	return o.call(ctx, m.Home, func(p *partition, reply func(*wire.JobReply)) { p.submit(m.Spec, reply) })
}

// Unconfirmed is the Detail of a reply that may be out of date or contain progress that is not durable, since the store
// did not confirm the state and the ownership in time.
const Unconfirmed = "the store does not respond; this may be old"

// Query replies with one job (404 when it is unknown) or, for an empty id, with the jobs that have their home in the
// partition; 503 and 504 are as for Submit. The reply may have the Detail Unconfirmed.
func (o *Owner) Query(ctx context.Context, m *wire.JobQuery) *wire.JobReply {
	return o.call(ctx, m.Home, func(p *partition, reply func(*wire.JobReply)) { p.query(m, reply) })
}

// Cancel cancels a job and replies once the cancellation is durable: 200, also when the job was cancelled before; 409
// when it is finished, since Done is final; 404 when it is unknown; 503 and 504 as for Submit.
func (o *Owner) Cancel(ctx context.Context, m *wire.JobCancel) *wire.JobReply {
	return o.call(ctx, m.Home, func(p *partition, reply func(*wire.JobReply)) { p.cancel(m, reply) })
}

// call runs f on the writer goroutine of a partition and waits for its reply.
func (o *Owner) call(ctx context.Context, id ident.Partition, f func(*partition, func(*wire.JobReply))) *wire.JobReply {
	p := o.partition(id)
	if p == nil {
		return &wire.JobReply{
			Status: http.StatusServiceUnavailable, Detail: fmt.Sprintf("partition %s is not owned here", id),
		}
	}
	replies := make(chan *wire.JobReply, 1)
	reply := func(r *wire.JobReply) { replies <- r }
	if !p.inbox.TryPut(func() { f(p, reply) }) {
		return busyReply()
	}
	select {
	case r := <-replies:
		return r
	case <-p.done:
		return &wire.JobReply{Status: http.StatusServiceUnavailable, Detail: "the partition was handed over"}
	case <-ctx.Done():
		return &wire.JobReply{Status: http.StatusGatewayTimeout, Detail: "the store did not confirm in time"}
	}
}

func busyReply() *wire.JobReply {
	return &wire.JobReply{Status: http.StatusServiceUnavailable, Detail: errBusy.Error()}
}

func validate(s *wire.JobSpec) error {
	switch {
	case !ident.IsName(string(s.Job)):
		return errors.Newf("Job: %q is not a name", string(s.Job))
	case !ident.IsName(string(s.Team)):
		return errors.Newf("Team: %q is not a name", string(s.Team))
	case s.Tasks == 0 || s.Tasks > maxTasks:
		return errors.Newf("Tasks: %d is not between 1 and %d", s.Tasks, maxTasks)
	case s.Size.IsNegative() || s.Size.Processors == 0 || s.Size.Memory == 0:
		return errors.New("Size: processors and memory must be above zero")
	case len(s.Command) > maxCommandBytes:
		return errors.Newf("Command: longer than %d bytes", maxCommandBytes)
	case s.RunTime < 0:
		return errors.New("RunTime: must not be negative")
	}
	return nil
}

// submit accepts a job and records it together with the local share, if there is one.
func (p *partition) submit(spec wire.JobSpec, reply func(*wire.JobReply)) {
	if j := p.state.Job(spec.Job); j != nil {
		existing := *j.Spec
		existing.Submitted, existing.Submitter = spec.Submitted, spec.Submitter
		if existing != spec {
			reply(&wire.JobReply{Status: http.StatusConflict, Detail: "another job has this id"})
			return
		}
		p.afterDurable(func() { reply(p.jobReply(http.StatusOK, spec.Job)) })
		return
	}
	if p.state.Share(spec.Job) != nil {
		reply(&wire.JobReply{Status: http.StatusConflict, Detail: "a job with this id was forgotten recently"})
		return
	}
	shares := p.split(&spec)
	events := []*part.Event{
		{Kind: part.JobAccepted, Job: spec.Job, Spec: &spec, Shares: shares, At: time.Now().UnixNano()},
	}
	for _, s := range shares {
		if s.Partition == p.id {
			events = append(events, &part.Event{Kind: part.ShareTaken, Job: spec.Job, Spec: &spec, Share: &s})
		}
	}
	err := p.record(spec.Urgent, func() {
		p.offer(spec.Job, p.state.Job(spec.Job))
		p.repeatOffers()
		reply(p.jobReply(http.StatusCreated, spec.Job))
	}, events...)
	switch {
	case errors.Is(err, errBusy):
		reply(busyReply())
	case err != nil:
		reply(&wire.JobReply{Status: http.StatusInternalServerError, Detail: err.Error()})
	case len(events) > 1:
		p.order.Add(spec.Team, spec.Job, spec.Urgent)
	}
}

// candidate is a partition that may receive a share.
type candidate struct {
	id       ident.Partition
	capacity float64 // in tasks
	rank     float64
}

// split divides the tasks of a job among partitions. A small job is assigned to one partition, its home if the zone
// has enough free capacity, so that one commit accepts and starts it. The other partitions are sampled at random,
// weighted by their free capacity: that is a delayed estimate, and if all homes chose the partition with the most,
// they would overload it until the next update.
func (p *partition) split(spec *wire.JobSpec) []part.ShareRange {
	all := p.o.cfg.Members.Partitions()
	inZone := map[ident.AvailabilityZone]int{}
	for _, id := range all {
		inZone[id.Zone]++
	}
	n := min(len(all), int(spec.Tasks+tasksPerShare-1)/tasksPerShare)
	var candidates []candidate
	for _, id := range all {
		zoneCapacity := tasksIn(p.o.cfg.Members.Free(id.Zone), spec.Size)
		c := candidate{id: id, capacity: zoneCapacity / float64(inZone[id.Zone])}
		// Weighted sampling without replacement: the n highest ranks form the sample, in which a candidate is included
		// with a probability in proportion to its weight.
		c.rank = math.Pow(rand.Float64(), 1/(c.capacity+1))
		if id == p.id && (n > 1 || zoneCapacity >= float64(spec.Tasks)) {
			c.rank = 1
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	if len(candidates) == 0 || (n == 1 && candidates[0].capacity == 0) {
		return []part.ShareRange{{Partition: p.id, Range: wire.Range{To: spec.Tasks}}}
	}
	candidates = candidates[:n]
	total := 0.0
	for _, c := range candidates {
		total += c.capacity + 1 // 1, so that a full partition also receives a part of a large job
	}
	var shares []part.ShareRange
	var from uint32
	cumulative := 0.0
	for i, c := range candidates {
		cumulative += c.capacity + 1
		to := uint32(float64(spec.Tasks) * cumulative / total)
		if i == n-1 {
			to = spec.Tasks
		}
		if to > from {
			shares = append(shares, part.ShareRange{Partition: c.id, Range: wire.Range{From: from, To: to}})
			from = to
		}
	}
	return shares
}

// tasksIn returns how many tasks of a size fit into the free capacity.
func tasksIn(free, size sizes.Resources) float64 {
	n := min(float64(free.Processors)/float64(size.Processors), float64(free.Memory)/float64(size.Memory))
	if size.Accelerators > 0 {
		n = min(n, float64(free.Accelerators)/float64(size.Accelerators))
	}
	return max(0, n)
}

// status returns the progress of a job with its home here.
func (p *partition) status(job ident.Job, j *part.Job) wire.JobStatus {
	detail := ""
	st := j.Status(func(s part.JobShare) wire.Counts {
		if s.Partition == p.id {
			if sh := p.state.Share(job); sh != nil {
				detail = cmp.Or(detail, p.detail(sh))
				return sh.Counts
			}
		}
		if o := p.offers[offerKey{job, s.Partition}]; o != nil {
			detail = cmp.Or(detail, o.detail)
			return o.counts
		}
		return part.Offered(s.Range)
	})
	st.Detail = detail
	return st
}

// jobReply returns a reply with the status of one job, or 404 when it is unknown.
func (p *partition) jobReply(status int, job ident.Job) *wire.JobReply {
	j := p.state.Job(job)
	if j == nil {
		return &wire.JobReply{Status: http.StatusNotFound, Detail: "no such job"}
	}
	return &wire.JobReply{Status: status, Jobs: []wire.JobStatus{p.status(job, j)}}
}

// query replies once the state is durable and the store has confirmed that this owner is not deposed, so that no reply
// shows less progress than an earlier one. If the store does not respond in time, the reply is marked as Unconfirmed.
func (p *partition) query(m *wire.JobQuery, reply func(*wire.JobReply)) {
	p.afterConfirmation(func(confirmed bool) {
		r := p.listJobs(m.After)
		if m.Job != "" {
			r = p.jobReply(http.StatusOK, m.Job)
		}
		if !confirmed {
			r.Detail = Unconfirmed
		}
		reply(r)
	})
}

// listJobs returns the jobs whose ids follow the given one, as many as fit into a frame.
func (p *partition) listJobs(after ident.Job) *wire.JobReply {
	r := &wire.JobReply{Status: http.StatusOK}
	var ids []ident.Job
	for id := range p.state.Jobs() {
		if id > after {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	size := 0
	for _, id := range ids {
		st := p.status(id, p.state.Job(id))
		size += maxStatusBytes + len(st.Spec.Command) + len(st.Detail)
		if size > maxReplyBytes && len(r.Jobs) > 0 {
			r.More = true
			break
		}
		r.Jobs = append(r.Jobs, st)
	}
	return r
}

// cancel records the cancellation of a job and replies once it is durable.
func (p *partition) cancel(m *wire.JobCancel, reply func(*wire.JobReply)) {
	job := m.Job
	if p.state.Job(job) == nil {
		p.afterConfirmation(func(confirmed bool) {
			if !confirmed {
				reply(&wire.JobReply{Status: http.StatusServiceUnavailable, Detail: Unconfirmed})
				return
			}
			reply(p.jobReply(0, job))
		})
		return
	}
	err := p.record(p.state.Job(job).Spec.Urgent, func() {
		p.cancelled(job)
		p.repeatOffers()
		reply(p.jobReply(http.StatusOK, job))
	}, &part.Event{Kind: part.JobCancelled, Job: job, Detail: m.Author, At: time.Now().UnixNano()})
	switch {
	case err == nil:
		if sh := p.state.Share(job); sh != nil {
			p.noteFinished(job, sh)
		}
	case errors.Is(err, errBusy):
		reply(busyReply())
	case errors.Is(err, part.ErrCancelled):
		p.afterDurable(func() { reply(p.jobReply(http.StatusOK, job)) })
	default:
		p.afterDurable(func() { reply(p.jobReply(http.StatusConflict, job)) })
	}
}
