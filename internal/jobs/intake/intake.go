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
	readLimit   = 600 * time.Millisecond // for an answer of the store to a question
	retryPause  = 50 * time.Millisecond  // between writes whose outcome is unknown
	askLimit    = 400 * time.Millisecond // for an answer of the leader
	relayLimit  = 2 * time.Second        // for an answer of the leader that stores something for this entry
	failingLong = 300 * time.Millisecond // without an answer of the store, after which nothing is sent to it for a caller
	// RetryAfter is when a refused caller should come back.
	RetryAfter = time.Second
)

// Verdict is the outcome of a caller's request.
type Verdict uint8

// Verdicts.
const (
	Accepted  Verdict = iota + 1 // carried out and stored, or known
	Unknown                      // no such job
	NotDone                      // not carried out, and never will be
	Uncertain                    // it may have been carried out
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Verdict -output verdict_string.go

// Leader reaches the leader of the cell.
type Leader interface {
	// Epoch returns the epoch of the leader that Tell reaches, or that this entry knows of when it reaches none.
	Epoch() uint64
	// Tell sends a message to the leader of that epoch, and to no other, without waiting for a reply.
	Tell(epoch uint64, m *wire.JobAsk)
	// Ask waits for the reply to a message.
	Ask(ctx context.Context, m *wire.JobAsk) (*wire.JobTell, error)
	// IsSelf reports whether this entry leads.
	IsSelf() bool
}

// Config is what an Intake needs.
type Config struct {
	Cell    string
	Store   rows.Store
	Failing func() time.Time // since when the store does not answer; zero while it does
	// Patience is how long to wait for an answer of the store before the request is sent again.
	Patience func() time.Duration
	Leader   Leader
	Taken    func(Verdict) // counts submissions; nil for none
	Log      *zap.Logger
}

// Intake accepts jobs. Its methods are safe for concurrent use.
type Intake struct {
	cfg Config
}

// New returns an intake.
func New(cfg Config) *Intake { return &Intake{cfg: cfg} }

// Prepare fills in what a job takes from its queue.
func Prepare(j *spec.Job, q *queues.Queue, version uint64, now time.Time) {
	j.Queue, j.Service, j.Priority, j.MaxAttempts = q.Name, q.Service, q.Priority, q.MaxAttempts
	j.Stretch, j.Objective = q.Stretch, q.Objective.Milliseconds()
	j.Advised, j.Version, j.AcceptedAt = q.Advice != nil, version, now.UnixMilli()
}

// Submit stores a job. A job that is stored already is accepted again and stays one job.
func (in *Intake) Submit(ctx context.Context, j *spec.Job) Verdict {
	began := time.Now()
	j.Epoch = in.cfg.Leader.Epoch()
	packed, err := rows.Encode(j)
	if err != nil {
		event.Log(in.cfg.Log, event.JobRefused, zap.String("Job", string(j.ID)), zap.Error(err))
		return NotDone
	}
	isOwn := false
	v, err := in.relayed(ctx, &wire.JobAsk{Action: wire.JobStore, ID: string(j.ID), Packed: packed})
	if v == 0 {
		v, isOwn, err = in.store(ctx, rows.JobRef(in.cfg.Cell, j.ID), packed)
	}
	if in.cfg.Taken != nil {
		in.cfg.Taken(v)
	}
	if v != Accepted {
		event.Log(in.cfg.Log, event.JobRefused, zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue),
			zap.Stringer("Verdict", v), zap.Duration("Took", time.Since(began)), zap.Error(err))
		return v
	}
	event.Log(in.cfg.Log, event.JobTaken, zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue),
		zap.Uint64("Version", j.Version), zap.Int("Tasks", j.TaskCount()), zap.Uint64("Epoch", j.Epoch),
		zap.Duration("Took", time.Since(began)))
	in.tell(j, packed, isOwn)
	return Accepted
}

// tell passes an accepted job to the leader. A job that another request stored may have been told to another leader, so
// that it goes without an epoch.
func (in *Intake) tell(j *spec.Job, packed []byte, isOwn bool) {
	epoch := j.Epoch
	if !isOwn {
		again := *j
		again.Epoch = 0
		b, err := rows.Encode(&again)
		if err != nil {
			event.Log(in.cfg.Log, event.JobRefused, zap.String("Job", string(j.ID)), zap.Error(err))
			return
		}
		packed = b
	}
	in.cfg.Leader.Tell(epoch, &wire.JobAsk{Action: wire.JobAccepted, ID: string(j.ID), Packed: packed})
}

// relayed lets the leader store something while the store turns this entry away; verdict 0 leaves it to this entry.
// Without another way the caller is refused at once, since nothing was sent.
func (in *Intake) relayed(ctx context.Context, m *wire.JobAsk) (Verdict, error) {
	since := in.cfg.Failing()
	if since.IsZero() || time.Since(since) < failingLong {
		return 0, nil
	}
	if in.cfg.Leader.IsSelf() {
		return NotDone, errFailing
	}
	limited, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	t, err := in.cfg.Leader.Ask(limited, m)
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

// ErrNoLeader says that no leader is reachable, so that nothing was sent.
var ErrNoLeader = errors.New("no leader is reachable")

var errFailing = errors.New("the store does not answer")

// store writes a row that stays as it is once it exists, so that the same write may be tried several times.
// IsOwn tells that the row holds this value.
func (in *Intake) store(ctx context.Context, ref rows.Ref, value []byte) (v Verdict, isOwn bool, err error) {
	c := rows.Change{Conditions: []rows.Condition{{Ref: ref}}, Puts: []rows.Row{{Ref: ref, Value: value}}}
	change := func(ctx context.Context) (rows.Outcome, error) { return in.cfg.Store.Change(ctx, c) }
	res := rows.Hedge(ctx, in.cfg.Patience(), change)
	for res.Err != nil && res.Sent && pause.For(ctx, retryPause) { // the same write shows what became of those before
		res = rows.Hedge(ctx, in.cfg.Patience(), change)
		res.Sent = true
	}
	switch {
	case res.Err == nil:
		isOwn = res.Value.Applied
		for _, r := range res.Value.Conflicts {
			isOwn = isOwn || r.Ref == ref && bytes.Equal(r.Value, value)
		}
		return Accepted, isOwn, nil // applied, or there already
	case res.Sent:
		return Uncertain, false, res.Err
	default:
		return NotDone, false, res.Err
	}
}

// Cancel stores the cancellation of a job.
func (in *Intake) Cancel(ctx context.Context, id spec.ID) Verdict {
	state, v := in.State(ctx, id)
	if v != Accepted {
		return v
	}
	if state.IsFinal() {
		return Accepted
	}
	v, err := in.relayed(ctx, &wire.JobAsk{Action: wire.JobRevoke, ID: string(id)})
	if v == 0 {
		v, _, err = in.store(ctx, rows.CancelRef(in.cfg.Cell, id), []byte{1})
	}
	event.Log(in.cfg.Log, event.JobCancelled, zap.String("Job", string(id)), zap.Stringer("Verdict", v), zap.Error(err))
	if v == Accepted {
		in.cfg.Leader.Tell(in.cfg.Leader.Epoch(), &wire.JobAsk{Action: wire.JobCancelled, ID: string(id)})
	}
	return v
}

// State returns the state of a job as the leader knows it, or as it is stored.
func (in *Intake) State(ctx context.Context, id spec.ID) (rows.State, Verdict) {
	limited, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	t, err := in.cfg.Leader.Ask(limited, &wire.JobAsk{Action: wire.JobState, ID: string(id)})
	if err == nil && t.Verdict == wire.VerdictKnown {
		return rows.State(t.State), Accepted
	}
	return in.storedState(ctx, id)
}

func (in *Intake) storedState(ctx context.Context, id spec.ID) (rows.State, Verdict) {
	limited, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	p, err := in.cfg.Store.Read(limited, rows.ProgressRef(in.cfg.Cell, id).One())
	if err != nil {
		return 0, NotDone
	}
	if len(p.Rows) > 0 {
		var a rows.Advance
		if err := rows.Decode(p.Rows[0], &a); err != nil {
			event.Log(in.cfg.Log, event.RowUnreadable, zap.String("Job", string(id)), zap.Error(err))
			return 0, NotDone
		}
		return a.State, Accepted
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

// Waiting returns the number of accepted jobs of a queue without a started task.
func (in *Intake) Waiting(ctx context.Context, queue string) (int, Verdict) {
	limited, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	t, err := in.cfg.Leader.Ask(limited, &wire.JobAsk{Action: wire.QueueLength, Queue: queue})
	if err != nil || t.Verdict != wire.VerdictKnown {
		return 0, NotDone
	}
	return t.Waiting, Accepted
}

// Serve answers what another entry asks this one to store.
func (in *Intake) Serve(ctx context.Context, m *wire.JobAsk) *wire.JobTell {
	tell := &wire.JobTell{Number: m.Number}
	var v Verdict
	if since := in.cfg.Failing(); !since.IsZero() && time.Since(since) >= failingLong {
		tell.Verdict = wire.VerdictNotDone
		return tell
	}
	switch m.Action {
	case wire.JobStore:
		var j spec.Job
		if err := wire.Unpack(m.Packed, &j); err != nil {
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
		tell.Verdict = wire.VerdictKnown
	case NotDone:
		tell.Verdict = wire.VerdictNotDone
	default:
		tell.Verdict = wire.VerdictUnclear
	}
	return tell
}
