package entry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

const (
	jobRetryDelay = 250 * time.Millisecond // between attempts while the owner of a partition changes
	maxListing    = 10_000                 // jobs in one reply to an operator
)

// jobOwner answers requests about the jobs of partitions that this entry owns.
type jobOwner interface {
	Owns(p ident.Partition) bool
	Submit(ctx context.Context, m *wire.JobSubmit) *wire.JobReply
	Query(ctx context.Context, m *wire.JobQuery) *wire.JobReply
	Cancel(ctx context.Context, m *wire.JobCancel) *wire.JobReply
}

// jobs forwards requests about jobs to the owners of their home partitions; it implements admin.Jobs.
type jobs struct {
	members *members
	owner   jobOwner
}

// Submit implements admin.Jobs. It may be repeated with the same job ID.
func (j *jobs) Submit(ctx context.Context, spec wire.JobSpec) (wire.JobReply, error) {
	home, ok := j.members.homePartition(spec.Job)
	if !ok {
		return noPartitions(), nil
	}
	return j.callOwner(ctx, home, &wire.JobSubmit{Home: home, Spec: spec})
}

// Get implements admin.Jobs.
func (j *jobs) Get(ctx context.Context, job ident.Job) (wire.JobReply, error) {
	home, ok := j.members.homePartition(job)
	if !ok {
		return noPartitions(), nil
	}
	return j.callOwner(ctx, home, &wire.JobQuery{Home: home, Job: job})
}

// Cancel implements admin.Jobs.
func (j *jobs) Cancel(ctx context.Context, job ident.Job, author string) (wire.JobReply, error) {
	home, ok := j.members.homePartition(job)
	if !ok {
		return noPartitions(), nil
	}
	return j.callOwner(ctx, home, &wire.JobCancel{Home: home, Job: job, Author: author})
}

// List implements admin.Jobs.
func (j *jobs) List(ctx context.Context) (wire.JobReply, error) {
	partitions := j.members.Partitions()
	replies := make([]wire.JobReply, len(partitions))
	var wg sync.WaitGroup
	for i, p := range partitions {
		wg.Go(func() { replies[i] = j.listPartition(ctx, p) })
	}
	wg.Wait()
	all := wire.JobReply{Status: http.StatusOK}
	for _, r := range replies {
		if r.Status != http.StatusOK {
			return r, nil
		}
		all.Jobs = append(all.Jobs, r.Jobs...)
		all.Detail = cmp.Or(all.Detail, r.Detail)
	}
	if len(all.Jobs) > maxListing {
		all.Jobs, all.More = all.Jobs[:maxListing], true
	}
	return all, nil
}

// listPartition returns the jobs whose home is the given partition, fetching them page by page.
func (j *jobs) listPartition(ctx context.Context, p ident.Partition) wire.JobReply {
	var all wire.JobReply
	query := &wire.JobQuery{Home: p}
	for {
		reply, err := j.callOwner(ctx, p, query)
		if err != nil {
			return wire.JobReply{Status: http.StatusServiceUnavailable, Detail: err.Error()}
		}
		reply.Jobs = append(all.Jobs, reply.Jobs...)
		all = reply
		if !reply.More || len(reply.Jobs) > maxListing {
			return all
		}
		query = &wire.JobQuery{Home: p, After: reply.Jobs[len(reply.Jobs)-1].Spec.Job}
	}
}

func noPartitions() wire.JobReply {
	return wire.JobReply{
		Status: http.StatusServiceUnavailable, Detail: "no configuration with availability zones is in force",
	}
}

// callOwner sends an idempotent request to the owner of its home partition and retries until the owner replies or ctx
// ends. A reply of 503 means that no attempt had an effect. The error wraps table.ErrUnknown if an attempt of a change
// had no reply: the refusal of a later one is no proof that it had no effect.
func (j *jobs) callOwner(ctx context.Context, home ident.Partition, m wire.Message) (wire.JobReply, error) {
	_, isQuery := m.(*wire.JobQuery)
	var unanswered error // of the latest attempt without a reply
	for {
		reply, err := j.tryOnce(ctx, home, m)
		switch {
		case err == nil && reply.Status != http.StatusServiceUnavailable:
			return reply, nil
		case errors.Is(err, table.ErrUnknown) && !isQuery:
			unanswered = err
		case err != nil:
			reply = wire.JobReply{Status: http.StatusServiceUnavailable, Detail: err.Error()}
		}
		if pause.For(ctx, jobRetryDelay) {
			continue
		}
		if unanswered != nil {
			return wire.JobReply{}, unanswered
		}
		return reply, nil
	}
}

func (j *jobs) tryOnce(ctx context.Context, home ident.Partition, m wire.Message) (wire.JobReply, error) {
	if j.owner.Owns(home) {
		return *answerJob(ctx, j.owner, m), nil
	}
	name, ok := j.members.roster.OwnerOf(home)
	if !ok {
		return wire.JobReply{}, errors.Newf("no live entry for partition %s", home)
	}
	s := j.members.directory.peerSessions()[name]
	if s == nil {
		return wire.JobReply{}, errors.Newf("no session with entry %s, which owns partition %s", name, home)
	}
	return callJob(ctx, s, m)
}

// callJob sends a request about a job to another entry and returns its reply. The error wraps table.ErrUnknown if the
// request may have reached the entry.
func callJob(ctx context.Context, s *sess.Session, m wire.Message) (wire.JobReply, error) {
	st, err := s.Open(ctx, m)
	if err != nil {
		return wire.JobReply{}, fmt.Errorf("ask owner: %w", err)
	}
	reply, err := receiveReply(ctx, st)
	st.Reset("request has ended")
	if err != nil && st.Sent() {
		err = fmt.Errorf("%w: %w", table.ErrUnknown, err)
	}
	return reply, err
}

func receiveReply(ctx context.Context, st *sess.Stream) (wire.JobReply, error) {
	if err := st.CloseWrite(); err != nil {
		return wire.JobReply{}, fmt.Errorf("ask owner: %w", err)
	}
	answer, err := st.Receive(ctx)
	if err != nil {
		return wire.JobReply{}, fmt.Errorf("wait for owner: %w", err)
	}
	reply, ok := answer.(*wire.JobReply)
	if !ok {
		return wire.JobReply{}, errors.Newf("owner answered with %v", answer.Kind())
	}
	return *reply, nil
}

// answerJob answers a request about a job whose home this entry owns.
func answerJob(ctx context.Context, o jobOwner, m wire.Message) *wire.JobReply {
	switch m := m.(type) {
	case *wire.JobSubmit:
		return o.Submit(ctx, m)
	case *wire.JobQuery:
		return o.Query(ctx, m)
	case *wire.JobCancel:
		return o.Cancel(ctx, m)
	}
	return &wire.JobReply{Status: http.StatusBadRequest, Detail: "not a request about a job"}
}
