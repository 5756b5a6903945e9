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

// Submit accepts a job in its home partition and replies once that is durable: 201, 200 for a repeated submission, 409
// for another job with the same id, 400 for an invalid one, 503 when the partition is not owned here or is
// busy, 504 when the outcome is not known. A submission with the same id may be repeated in the last two cases.
func (o *Owner) Submit(ctx context.Context, m *wire.JobSubmit) *wire.JobReply {
	if err := validate(&m.Spec); err != nil {
		return &wire.JobReply{Status: http.StatusBadRequest, Detail: err.Error()}
	}
	return o.call(ctx, m.Home, func(p *partition, reply func(*wire.JobReply)) { p.submit(m.Spec, reply) })
}

// Unconfirmed is the Detail of a reply to a query that the store did not confirm; it may be old.
const Unconfirmed = "the store does not respond; this may be old"

// Query replies with one job (404 when it is unknown) or, for an empty id, with the jobs at home in the partition. A reply
// whose Detail is Unconfirmed may be old.
func (o *Owner) Query(ctx context.Context, m *wire.JobQuery) *wire.JobReply {
	return o.call(ctx, m.Home, func(p *partition, reply func(*wire.JobReply)) { p.query(m, reply) })
}

// Cancel cancels a job and replies once that is durable: 200, also when it was cancelled before; 409 when the job is
// finished, since Done stays Done; 404 when it is unknown.
func (o *Owner) Cancel(ctx context.Context, m *wire.JobCancel) *wire.JobReply {
	return o.call(ctx, m.Home, func(p *partition, reply func(*wire.JobReply)) { p.cancel(m, reply) })
}

// call runs f in the writer of a partition and waits for its reply.
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
		return busy()
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

func busy() *wire.JobReply {
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
	case len(s.Command) > maxCommand:
		return errors.Newf("Command: longer than %d bytes", maxCommand)
	case s.RunTime < 0:
		return errors.New("RunTime: must not be negative")
	}
	return nil
}

func (p *partition) submit(spec wire.JobSpec, reply func(*wire.JobReply)) {
	if j := p.state.Job(spec.Job); j != nil {
		have := *j.Spec
		have.Submitted, have.Submitter = spec.Submitted, spec.Submitter
		if have != spec {
			reply(&wire.JobReply{Status: http.StatusConflict, Detail: "another job has this id"})
			return
		}
		p.afterDurable(func() { reply(p.reply(http.StatusOK, spec.Job)) })
		return
	}
	if p.state.Share(spec.Job) != nil {
		reply(&wire.JobReply{Status: http.StatusConflict, Detail: "a job with this id was forgotten recently"})
		return
	}
	shares := p.split(&spec)
	events := []*part.Event{{Kind: part.JobAccepted, Job: spec.Job, Spec: &spec, Shares: shares, At: time.Now().UnixNano()}}
	for _, s := range shares {
		if s.Partition == p.id {
			events = append(events, &part.Event{Kind: part.ShareTaken, Job: spec.Job, Spec: &spec, Share: &s})
		}
	}
	err := p.record(spec.Urgent, func() {
		p.offer(spec.Job, p.state.Job(spec.Job))
		p.repeatOffers()
		reply(p.reply(http.StatusCreated, spec.Job))
	}, events...)
	switch {
	case errors.Is(err, errBusy):
		reply(busy())
	case err != nil:
		reply(&wire.JobReply{Status: http.StatusInternalServerError, Detail: err.Error()})
	case len(events) > 1:
		p.order.Add(spec.Team, spec.Job, spec.Urgent)
	}
}

// option is a partition that may take a share.
type option struct {
	id   ident.Partition
	room float64 // tasks
	rank float64
}

// split divides the tasks of a job over partitions. A small job stays in one partition, at home if its zone has room, so
// that it takes one commit to accept and start it. The other partitions are drawn at random, weighted by their room: the
// room is a hint, and if all homes chose the largest, they would all choose the same one until the next hint.
func (p *partition) split(spec *wire.JobSpec) []part.Placed {
	all := p.o.cfg.Members.Partitions()
	inZone := map[ident.AvailabilityZone]int{}
	for _, id := range all {
		inZone[id.Zone]++
	}
	n := min(len(all), int(spec.Tasks+shareTasks-1)/shareTasks)
	var options []option
	for _, id := range all {
		zoneRoom := tasksIn(p.o.cfg.Members.Free(id.Zone), spec.Size)
		o := option{id: id, room: zoneRoom / float64(inZone[id.Zone])}
		// Ranks drawn like this give a sample without replacement with probabilities in proportion to the weights.
		o.rank = math.Pow(rand.Float64(), 1/(o.room+1))
		if id == p.id && (n > 1 || zoneRoom >= float64(spec.Tasks)) {
			o.rank = 1
		}
		options = append(options, o)
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(b.rank, a.rank) })
	if len(options) == 0 || (n == 1 && options[0].room == 0) {
		return []part.Placed{{Partition: p.id, Range: wire.Range{To: spec.Tasks}}}
	}
	options = options[:n]
	total := 0.0
	for _, o := range options {
		total += o.room + 1 // 1, so that a partition without room now still gets some of a long queue
	}
	var shares []part.Placed
	var from uint32
	sum := 0.0
	for i, o := range options {
		sum += o.room + 1
		to := uint32(float64(spec.Tasks) * sum / total)
		if i == n-1 {
			to = spec.Tasks
		}
		if to > from {
			shares = append(shares, part.Placed{Partition: o.id, Range: wire.Range{From: from, To: to}})
			from = to
		}
	}
	return shares
}

// tasksIn returns how many tasks of a size fit into free room.
func tasksIn(free, size sizes.Resources) float64 {
	n := min(float64(free.Processors)/float64(size.Processors), float64(free.Memory)/float64(size.Memory))
	if size.Accelerators > 0 {
		n = min(n, float64(free.Accelerators)/float64(size.Accelerators))
	}
	return max(0, n)
}

// status returns the progress of a job at home here.
func (p *partition) status(job ident.Job, j *part.Job) wire.JobStatus {
	detail := ""
	st := j.Status(func(s part.JobShare) wire.Counts {
		if s.Partition == p.id {
			if sh := p.state.Share(job); sh != nil {
				detail = cmp.Or(detail, p.detail(sh))
				return sh.Counts
			}
		}
		if of := p.offers[offerKey{job, s.Partition}]; of != nil {
			detail = cmp.Or(detail, of.detail)
			return of.counts
		}
		return part.Offered(s.Range)
	})
	st.Detail = detail
	return st
}

func (p *partition) reply(status int, job ident.Job) *wire.JobReply {
	j := p.state.Job(job)
	if j == nil {
		return &wire.JobReply{Status: http.StatusNotFound, Detail: "no such job"}
	}
	return &wire.JobReply{Status: status, Jobs: []wire.JobStatus{p.status(job, j)}}
}

// query replies with what is durable, and with a proof that this owner is not deposed, so that no reply shows less than
// an earlier one. While the store does not respond, the reply tells that it may be old.
func (p *partition) query(m *wire.JobQuery, reply func(*wire.JobReply)) {
	p.afterProof(func(proved bool) {
		r := p.list(m.After)
		if m.Job != "" {
			r = p.reply(http.StatusOK, m.Job)
		}
		if !proved {
			r.Detail = Unconfirmed
		}
		reply(r)
	})
}

// list returns the jobs after the given one, as many as fit into a frame.
func (p *partition) list(after ident.Job) *wire.JobReply {
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
		size += statusBytes + len(st.Spec.Command) + len(st.Detail)
		if size > replyBytes && len(r.Jobs) > 0 {
			r.More = true
			break
		}
		r.Jobs = append(r.Jobs, st)
	}
	return r
}

func (p *partition) cancel(m *wire.JobCancel, reply func(*wire.JobReply)) {
	job := m.Job
	if p.state.Job(job) == nil {
		p.afterProof(func(proved bool) {
			if !proved {
				reply(&wire.JobReply{Status: http.StatusServiceUnavailable, Detail: Unconfirmed})
				return
			}
			reply(p.reply(0, job))
		})
		return
	}
	err := p.record(p.state.Job(job).Spec.Urgent, func() {
		p.cancelled(job)
		p.repeatOffers()
		reply(p.reply(http.StatusOK, job))
	}, &part.Event{Kind: part.JobCancelled, Job: job, Detail: m.Author, At: time.Now().UnixNano()})
	switch {
	case err == nil:
		if sh := p.state.Share(job); sh != nil {
			p.noteFinished(job, sh)
		}
	case errors.Is(err, errBusy):
		reply(busy())
	case errors.Is(err, part.ErrCancelled):
		p.afterDurable(func() { reply(p.reply(http.StatusOK, job)) })
	default:
		p.afterDurable(func() { reply(p.reply(http.StatusConflict, job)) })
	}
}
