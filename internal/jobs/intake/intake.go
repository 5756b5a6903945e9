package intake

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	readTimeout      = 600 * time.Millisecond // of a read from the store
	retryPause       = 50 * time.Millisecond  // between attempts of a write whose outcome is unknown
	queryTimeout     = 400 * time.Millisecond // of a query to the leader
	relayTimeout     = 2 * time.Second        // of a write that the leader makes for this entry
	unavailableAfter = 300 * time.Millisecond // without a response from the store, after which no writes are sent to it
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter = time.Second
)

// Verdict is the outcome of a caller's request.
type Verdict uint8

// Verdicts.
const (
	Accepted  Verdict = iota + 1 // done and stored, or the job is known
	Unknown                      // no such job
	NotDone                      // not done, and it never will be
	Uncertain                    // it may have been done, or may still be
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Verdict -output verdict_string.go

// Leader sends messages to the leader of the cell.
type Leader interface {
	// Epoch returns the epoch of the leader that Notify reaches, or the latest known epoch when no leader is reachable.
	Epoch() uint64
	// Notify sends a message only to the leader of the given epoch, without waiting for a reply.
	Notify(epoch uint64, m *wire.JobAsk)
	// Request sends a message to the leader and waits for the reply; the error is ErrNoLeader if none is reachable.
	Request(ctx context.Context, m *wire.JobAsk) (*wire.JobTell, error)
	// IsSelf reports whether this entry leads.
	IsSelf() bool
}

// Config configures an Intake.
type Config struct {
	Cell         string
	Store        rows.Store
	FailingSince func() time.Time // since when the store has not responded; zero while it responds
	// HedgeDelay returns how long to wait for a response from the store before the request is sent again.
	HedgeDelay func() time.Duration
	Leader     Leader
	OnSubmit   func(Verdict) // called with the outcome of each submission; may be nil
	Admission  *Admission    // decides which jobs are accepted; nil if all are
	Log        *zap.Logger
}

// Intake accepts jobs. Its methods are safe for concurrent use.
type Intake struct {
	cfg Config
}

// New returns an intake with the given configuration.
func New(cfg Config) *Intake { return &Intake{cfg: cfg} }

// Prepare sets the fields of a job that come from its queue, the configuration version and the time of acceptance.
func Prepare(j *spec.Job, q *queues.Queue, version uint64, now time.Time) {
	j.Queue, j.Service, j.Priority, j.MaxAttempts = q.Name, q.Service, q.Priority, q.MaxAttempts
	j.Stretch, j.Objective = q.Stretch, q.Objective.Milliseconds()
	j.Advised, j.Version, j.AcceptedAt = q.Advice != nil, version, now.UnixMilli()
}

// Outcome is the outcome of a submission.
type Outcome struct {
	Verdict    Verdict
	RetryAfter time.Duration // not 0 for a job that admission control has rejected
}

// Submit stores a job and notifies the leader, unless admission control rejects the job. Submitting a stored job again is
// accepted and does not duplicate it.
func (in *Intake) Submit(ctx context.Context, j *spec.Job) Outcome {
	if in.cfg.Admission == nil {
		return Outcome{Verdict: in.submit(ctx, j)}
	}
	admitted, retryAfter := in.admit(ctx, j)
	if admitted == nil {
		return Outcome{Verdict: NotDone, RetryAfter: retryAfter}
	}
	defer in.cfg.Admission.stored(j.ID, admitted)
	return Outcome{Verdict: in.submit(ctx, j)}
}

func (in *Intake) submit(ctx context.Context, j *spec.Job) Verdict {
	began := time.Now()
	j.Epoch = in.cfg.Leader.Epoch()
	packed, err := rows.Encode(j)
	if err != nil {
		event.Log(in.cfg.Log, event.JobRefused, zap.String("Job", string(j.ID)), zap.Error(err))
		return NotDone
	}
	isOwn := false
	v, err := in.relay(ctx, &wire.JobAsk{Action: wire.JobStore, ID: string(j.ID), Packed: packed})
	if v == 0 {
		v, isOwn, err = in.store(ctx, rows.JobRef(in.cfg.Cell, j.ID), packed)
	}
	if in.cfg.OnSubmit != nil {
		in.cfg.OnSubmit(v)
	}
	if v != Accepted {
		event.Log(in.cfg.Log, event.JobRefused, zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue),
			zap.Stringer("Verdict", v), zap.Duration("Took", time.Since(began)), zap.Error(err))
		return v
	}
	event.Log(in.cfg.Log, event.JobAccepted, zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue),
		zap.Uint64("Version", j.Version), zap.Int("Tasks", j.TaskCount()), zap.Uint64("Epoch", j.Epoch),
		zap.Duration("Took", time.Since(began)))
	in.notifyLeader(j, packed, isOwn)
	return Accepted
}

// notifyLeader reports an accepted job to the leader. A job that another request stored may have been reported to
// another leader, so it is sent without an epoch.
func (in *Intake) notifyLeader(j *spec.Job, packed []byte, isOwn bool) {
	epoch := j.Epoch
	if !isOwn {
		withoutEpoch := *j
		withoutEpoch.Epoch = 0
		b, err := rows.Encode(&withoutEpoch)
		if err != nil {
			event.Log(in.cfg.Log, event.JobRefused, zap.String("Job", string(j.ID)), zap.Error(err))
			return
		}
		packed = b
	}
	in.cfg.Leader.Notify(epoch, &wire.JobAsk{Action: wire.JobAccepted, ID: string(j.ID), Packed: packed})
}

// relay sends a write to the leader while the store does not respond to this entry; verdict 0 means that this entry
// writes to the store itself. If no leader is reachable, the request is refused at once, since nothing was sent.
func (in *Intake) relay(ctx context.Context, m *wire.JobAsk) (Verdict, error) {
	since := in.cfg.FailingSince()
	if since.IsZero() || time.Since(since) < unavailableAfter {
		return 0, nil
	}
	if in.cfg.Leader.IsSelf() {
		return NotDone, errUnavailable
	}
	limited, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	t, err := in.cfg.Leader.Request(limited, m)
	if errors.Is(err, ErrNoLeader) {
		return NotDone, err
	}
	if err != nil {
		return Uncertain, err
	}
	switch t.Verdict {
	case wire.VerdictKnown:
		return Accepted, nil
	case wire.VerdictUnknown:
		return Unknown, nil
	case wire.VerdictNotDone, wire.VerdictNotReady:
		return NotDone, nil
	default:
		return Uncertain, nil
	}
}

// ErrNoLeader is returned when no leader is reachable and nothing was sent.
var ErrNoLeader = errors.New("no leader is reachable")

var errUnavailable = errors.New("the store is not responding")

// store writes a row that never changes once it exists, so the write may be repeated. isOwn reports whether the row
// holds this value.
func (in *Intake) store(ctx context.Context, ref rows.Ref, value []byte) (v Verdict, isOwn bool, err error) {
	c := rows.Change{Conditions: []rows.Condition{{Ref: ref}}, Puts: []rows.Row{{Ref: ref, Value: value}}}
	change := func(ctx context.Context) (rows.Outcome, error) { return in.cfg.Store.Change(ctx, c) }
	res := rows.Hedge(ctx, in.cfg.HedgeDelay(), change)
	for res.Err != nil && res.Sent && pause.For(ctx, retryPause) { // reveals the outcome of earlier attempts
		res = rows.Hedge(ctx, in.cfg.HedgeDelay(), change)
		res.Sent = true
	}
	switch {
	case res.Err == nil:
		isOwn = res.Value.Applied
		for _, r := range res.Value.Conflicts {
			isOwn = isOwn || r.Ref == ref && bytes.Equal(r.Value, value)
		}
		return Accepted, isOwn, nil // applied now or earlier
	case res.Sent:
		return Uncertain, false, res.Err
	default:
		return NotDone, false, res.Err
	}
}

// Cancel stores the cancellation of a job and notifies the leader; a job in a final state stays as it is. The cancellation of
// an unknown job is stored too, since its submission may be in progress at another entry or in the store.
func (in *Intake) Cancel(ctx context.Context, id spec.ID) Verdict {
	state, known := in.State(ctx, id)
	if known != Accepted && known != Unknown {
		return known
	}
	if known == Accepted && state.IsFinal() {
		return Accepted
	}
	v, err := in.relay(ctx, &wire.JobAsk{Action: wire.JobRevoke, ID: string(id)})
	if v == 0 {
		v, _, err = in.store(ctx, rows.CancelRef(in.cfg.Cell, id), []byte{1})
	}
	event.Log(in.cfg.Log, event.JobCancelled, zap.String("Job", string(id)), zap.Stringer("Verdict", v),
		zap.Bool("Known", known == Accepted), zap.Error(err))
	if v != Accepted {
		return v
	}
	in.cfg.Leader.Notify(in.cfg.Leader.Epoch(), &wire.JobAsk{Action: wire.JobCancelled, ID: string(id)})
	return known
}

// State returns the state of a job from the leader or, if the leader does not know it, from the store.
func (in *Intake) State(ctx context.Context, id spec.ID) (rows.State, Verdict) {
	limited, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	t, err := in.cfg.Leader.Request(limited, &wire.JobAsk{Action: wire.JobState, ID: string(id)})
	if err == nil && t.Verdict == wire.VerdictKnown {
		return rows.State(t.State), Accepted
	}
	return in.storedState(ctx, id)
}

func (in *Intake) storedState(ctx context.Context, id spec.ID) (rows.State, Verdict) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := in.cfg.Store.Read(limited, rows.ProgressRef(in.cfg.Cell, id).One())
	if err != nil {
		return 0, NotDone
	}
	if len(p.Rows) > 0 {
		var progress rows.JobProgress
		if err := rows.Decode(p.Rows[0], &progress); err != nil {
			event.Log(in.cfg.Log, event.RowUnreadable, zap.String("Job", string(id)), zap.Error(err))
			return 0, NotDone
		}
		return progress.State, Accepted
	}
	p, err = in.cfg.Store.Read(limited, rows.JobRef(in.cfg.Cell, id).One())
	if err != nil {
		return 0, NotDone
	}
	if len(p.Rows) == 0 {
		return 0, Unknown
	}
	return rows.Queued, Accepted
}

// Waiting returns the number of accepted jobs of a queue that have no started task.
func (in *Intake) Waiting(ctx context.Context, queue string) (int, Verdict) {
	limited, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	t, err := in.cfg.Leader.Request(limited, &wire.JobAsk{Action: wire.QueueLength, Queue: queue})
	if err != nil || t.Verdict != wire.VerdictKnown {
		return 0, NotDone
	}
	return t.Waiting, Accepted
}

// Serve stores a job or cancellation for another entry and returns the reply.
func (in *Intake) Serve(ctx context.Context, m *wire.JobAsk) *wire.JobTell {
	reply := &wire.JobTell{Number: m.Number}
	var v Verdict
	if since := in.cfg.FailingSince(); !since.IsZero() && time.Since(since) >= unavailableAfter {
		reply.Verdict = wire.VerdictNotDone
		return reply
	}
	switch m.Action {
	case wire.JobStore:
		var j spec.Job
		err := wire.Unpack(m.Packed, &j)
		if err == nil {
			err = j.Check()
		}
		if err != nil {
			event.Log(in.cfg.Log, event.InputRefused, zap.String("Job", m.ID), zap.Error(err))
			v = NotDone
			break
		}
		v, _, _ = in.store(ctx, rows.JobRef(in.cfg.Cell, j.ID), m.Packed)
	case wire.JobRevoke:
		v, _, _ = in.store(ctx, rows.CancelRef(in.cfg.Cell, spec.ID(m.ID)), []byte{1})
	}
	switch v {
	case Accepted:
		reply.Verdict = wire.VerdictKnown
	case NotDone:
		reply.Verdict = wire.VerdictNotDone
	default:
		reply.Verdict = wire.VerdictUnclear
	}
	return reply
}
