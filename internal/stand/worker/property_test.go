package worker_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	plat "trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	"trefoilramp.org/trefoilramp/internal/stand/worker"
)

// A fixed seed gives the same verdict in every run.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// step is one call on the worker, followed by a pause.
type step struct {
	Kind  int
	Ref   plat.Ref
	Lease time.Duration
	Pause time.Duration
}

const taskWork = 3 * time.Second

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		job := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job")
		return step{
			Kind:  rapid.IntRange(0, 6).Draw(t, "kind"),
			Ref:   ref(job, ident.Attempt(rapid.IntRange(1, 4).Draw(t, "attempt"))),
			Lease: time.Duration(rapid.IntRange(0, 4000).Draw(t, "lease")) * time.Millisecond,
			Pause: time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 60).Draw(t, "steps")
}

// trial applies steps to a worker and notes what was granted.
type trial struct {
	w       *worker.Worker
	granted map[plat.Ref]time.Time     // latest lease deadline
	from    map[plat.Ref]time.Duration // progress from which an attempt starts
	saved   map[string]time.Duration   // progress in checkpoints
	last    map[ident.Job]string       // latest checkpoint of a job
}

func (tr *trial) apply(t *testing.T, s step) {
	ctx := t.Context()
	deadline := time.Now().Add(s.Lease)
	switch s.Kind {
	case 0, 1:
		st := start(s.Ref, "run="+taskWork.String(), s.Lease)
		st.Checkpoint = tr.last[s.Ref.Task.Job]
		if tr.w.Start(ctx, st) == nil {
			tr.granted[s.Ref], tr.from[s.Ref] = deadline, tr.saved[st.Checkpoint]
		}
	case 2, 3:
		refused, err := tr.w.Renew(ctx, []plat.Renewal{{Ref: s.Ref, Deadline: deadline}})
		if err == nil && len(refused) == 0 && deadline.After(tr.granted[s.Ref]) {
			tr.granted[s.Ref] = deadline
		}
	case 4:
		if st, err := tr.w.Checkpoint(ctx, s.Ref, true); err == nil && st.State == plat.Stopped && st.Checkpoint != "" {
			tr.last[s.Ref.Task.Job] = st.Checkpoint
			tr.saved[st.Checkpoint] = tr.progress(s.Ref)
		}
	case 5:
		_, _ = tr.w.Stop(ctx, s.Ref) // a missing attempt is a valid outcome
	case 6:
		_ = tr.w.Throttle(ctx, s.Ref, s.Lease.Milliseconds()/4) // the same
	}
	time.Sleep(s.Pause)
}

// progress returns the last progress of an attempt in the history.
func (tr *trial) progress(r plat.Ref) time.Duration {
	p := tr.from[r]
	for _, i := range tr.w.History() {
		if i.Ref == r {
			p = i.End
		}
	}
	return p
}

// check returns the first rule that the history breaks.
func (tr *trial) check() error {
	h := tr.w.History()
	at := make(map[plat.Ref]time.Duration)
	newest := make(map[ident.Task]ident.Attempt)
	for _, i := range h {
		want, ran := at[i.Ref]
		if !ran {
			want = tr.from[i.Ref]
		}
		switch {
		case i.To.After(tr.granted[i.Ref]):
			return errors.Newf("%v ran until %v, after its lease deadline %v", i.Ref, i.To, tr.granted[i.Ref])
		case i.Start != want:
			return errors.Newf("%v went on from progress %v, want %v", i.Ref, i.Start, want)
		case i.End-i.Start > i.To.Sub(i.From) || i.End > taskWork:
			return errors.Newf("%v made progress %v to %v in %v", i.Ref, i.Start, i.End, i.To.Sub(i.From))
		case i.Attempt < newest[i.Task]:
			return errors.Newf("%v ran after attempt %d", i.Ref, newest[i.Task])
		}
		at[i.Ref], newest[i.Task] = i.End, i.Attempt
	}
	if !tr.w.Peak().Fits(sizes.Resources{Processors: 2000, Memory: 2 << 30}) {
		return fmt.Errorf("the worker held %+v", tr.w.Peak())
	}
	return worker.Overlap(h)
}

// Guards against any order of calls by which a task runs beyond its lease, beside another attempt of itself, beyond the
// worker's means, or with progress lost or made twice.
func TestNoCallsBreakTheLease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		storeDown := rapid.IntRange(0, 10).Draw(rt, "calls with a failing store")
		var broken error
		synctest.Test(t, func(t *testing.T) {
			s := store.New(store.Options{Latency: 3 * time.Millisecond})
			rule := script.Rule{Action: script.Down, First: 2, Count: int64(storeDown)}
			if storeDown > 0 {
				must(t, s.Faults().Set(rule))
			}
			tr := &trial{
				w: worker.New(worker.Options{
					Worker: "w1", Total: sizes.Resources{Processors: 2000, Memory: 2 << 30}, Objects: s,
				}),
				granted: make(map[plat.Ref]time.Time), from: make(map[plat.Ref]time.Duration),
				saved: make(map[string]time.Duration), last: make(map[ident.Job]string),
			}
			defer tr.w.Close()
			for _, st := range steps {
				tr.apply(t, st)
			}
			time.Sleep(10 * time.Second)
			broken = tr.check()
		})
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}
