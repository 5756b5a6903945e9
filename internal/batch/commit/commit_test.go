package commit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/batch/commit"
	"trefoilramp.org/trefoilramp/internal/batch/lease"
	"trefoilramp.org/trefoilramp/internal/batch/part"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

var partition = ident.Partition{Zone: "konya", Number: 1}

// owner owns a partition in a test; it holds the recovered state and the journal.
type owner struct {
	t        *testing.T
	takeover commit.Takeover
	state    *part.State
	j        *commit.Journal
	jobs     int
}

func takeOver(t *testing.T, s table.Store, name ident.Entry) *owner {
	t.Helper()
	ctx := t.Context()
	heads, err := commit.ReadHeads(ctx, s, partition.Zone)
	if err != nil {
		t.Fatal(err)
	}
	takeover, err := commit.TakeOver(ctx, s, partition, commit.Self{Name: name, Incarnation: "1"}, heads[partition])
	if err != nil {
		t.Fatal(err)
	}
	state, tail, err := commit.Load(ctx, s, takeover)
	if err != nil {
		t.Fatal(err)
	}
	cfg := commit.Config{Store: s, Terms: lease.Default(), Spacing: 10 * time.Millisecond, Log: zap.NewNop()}
	o := &owner{t: t, takeover: takeover, state: state}
	o.j = commit.NewJournal(cfg, takeover, tail, lease.NewOwner(cfg.Terms, takeover.Sent))
	return o
}

// run starts the journal and returns a function that stops it and returns its error.
func (o *owner) run() func() error {
	ctx, cancel := context.WithCancel(o.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- o.j.Run(ctx) }()
	return func() error {
		cancel()
		return <-ended
	}
}

// accept appends the acceptance of a job and returns its mark.
func (o *owner) accept(name string) uint64 {
	o.t.Helper()
	o.jobs++
	spec := &wire.JobSpec{Job: ident.Job(name), Tasks: 1}
	e := &part.Event{Kind: part.JobAccepted, Job: spec.Job, Spec: spec,
		Shares: []part.ShareRange{{Partition: partition, Range: wire.Range{To: 1}}}}
	if err := o.state.Apply(o.takeover.Head.Epoch, e); err != nil {
		o.t.Fatal(err)
	}
	return o.j.Append(false, e)
}

func (o *owner) await(mark uint64) {
	for o.j.Durable() < mark {
		<-o.j.Updates()
		o.snapshot()
	}
}

func (o *owner) snapshot() {
	if !o.j.IsSnapshotDue() {
		return
	}
	b, err := o.state.Snapshot()
	if err != nil {
		o.t.Fatal(err)
	}
	o.j.WriteSnapshot(o.t.Context(), b)
}

func jobsOf(s *part.State) int {
	n := 0
	for range s.Jobs() {
		n++
	}
	return n
}

// Guards against events that are lost, duplicated or reordered when a response is lost before, after or long before its
// transaction takes effect, when the store is down or limits requests, and when the journal ring wraps around.
func TestJournalSurvivesFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				s := store.New(store.Options{Latency: 3 * time.Millisecond, WritesPerSecond: 60})
				o := takeOver(t, s, "a")
				stop := o.run()
				actions := []script.Action{script.Down, script.LoseBefore, script.LoseAfter, script.LoseLate, script.Slow, script.Reject}
				for i := range 700 {
					if i%20 == 0 {
						err := s.Faults().Set(script.Rule{Action: actions[rnd.IntN(len(actions))], Count: rnd.Int64N(4) + 1,
							Delay: script.Duration(rnd.Int64N(int64(9*time.Second)) + 1)})
						if err != nil {
							t.Fatal(err)
						}
					}
					mark := o.accept(fmt.Sprintf("j%d", i))
					if rnd.IntN(2) == 0 {
						o.await(mark)
					}
				}
				s.Faults().Clear()
				o.await(o.j.Mark())
				if err := stop(); !errors.Is(err, context.Canceled) {
					t.Errorf("journal ended with %v", err)
				}
				if got := jobsOf(takeOver(t, s, "b").state); got != 700 {
					t.Errorf("recovered %d jobs, want 700", got)
				}
			})
		})
	}
}

// Guards against a deposed owner that adds a row or still considers itself the owner, and against its last transaction
// taking effect late.
func TestDeposedOwnerCannotCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{})
		a := takeOver(t, s, "a")
		a.accept("before")
		if err := s.Faults().Set(script.Rule{Action: script.LoseLate, Kind: store.KindTransact, Count: 1,
			Delay: script.Duration(time.Minute)}); err != nil {
			t.Fatal(err)
		}
		stop := a.run()
		time.Sleep(10 * time.Millisecond) // the response is lost, and the transaction arrives a minute late
		b := takeOver(t, s, "b")
		time.Sleep(2 * time.Minute)
		if err := stop(); !errors.Is(err, commit.ErrDeposed) {
			t.Errorf("journal of the deposed owner ended with %v, want ErrDeposed", err)
		}
		if a.j.Durable() != 0 {
			t.Error("the event of the deposed owner is reported as durable")
		}
		if got := jobsOf(takeOver(t, s, "c").state); got != jobsOf(b.state) {
			t.Errorf("recovered %d jobs, the owner had %d", got, jobsOf(b.state))
		}
	})
}

// Guards against two entries that both succeed in a takeover, and against a handover that the next owner cannot
// distinguish from a crash.
func TestTakeoverAndHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{})
		if err := s.Faults().Set(script.Rule{Action: script.LoseAfter, Kind: store.KindTransact, Count: 1}); err != nil {
			t.Fatal(err)
		}
		a := takeOver(t, s, "a")
		if a.takeover.Head.Epoch != 1 || !a.takeover.HandedOver {
			t.Errorf("first owner: epoch %d, handed over %v", a.takeover.Head.Epoch, a.takeover.HandedOver)
		}
		_, err := commit.TakeOver(t.Context(), s, partition, commit.Self{Name: "b"}, commit.VersionedHead{})
		if !errors.Is(err, commit.ErrDeposed) {
			t.Errorf("second entry got %v, want ErrDeposed", err)
		}
		a.accept("job")
		a.j.Close()
		if err := a.j.Run(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := a.j.HandOver(t.Context(), true); err != nil {
			t.Fatal(err)
		}
		if b := takeOver(t, s, "b"); !b.takeover.HandedOver || b.takeover.Head.Epoch != 2 || jobsOf(b.state) != 1 {
			t.Errorf("next owner: %+v, %d jobs", b.takeover, jobsOf(b.state))
		}
	})
}
