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

// A fixed seed makes the tests deterministic.
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

// model applies steps to a worker and tracks the leases and the progress that the worker must respect.
type model struct {
	w             *worker.Worker
	leases        map[plat.Ref]time.Time     // latest lease deadline
	startProgress map[plat.Ref]time.Duration // progress at the start of an attempt
	checkpoints   map[string]time.Duration   // progress by checkpoint
	latest        map[ident.Job]string       // latest checkpoint of a job
}

func (m *model) apply(t *testing.T, s step) {
	ctx := t.Context()
	deadline := time.Now().Add(s.Lease)
	switch s.Kind {
	case 0, 1:
		st := start(s.Ref, "run="+taskWork.String(), s.Lease)
		st.Checkpoint = m.latest[s.Ref.Task.Job]
		if m.w.Start(ctx, st) == nil {
			m.leases[s.Ref], m.startProgress[s.Ref] = deadline, m.checkpoints[st.Checkpoint]
		}
	case 2, 3:
		refused, err := m.w.Renew(ctx, []plat.Renewal{{Ref: s.Ref, Deadline: deadline}})
		if err == nil && len(refused) == 0 && deadline.After(m.leases[s.Ref]) {
			m.leases[s.Ref] = deadline
		}
	case 4:
		if st, err := m.w.Checkpoint(ctx, s.Ref, true); err == nil && st.State == plat.Stopped && st.Checkpoint != "" {
			m.latest[s.Ref.Task.Job] = st.Checkpoint
			m.checkpoints[st.Checkpoint] = m.progress(s.Ref)
		}
	case 5:
		_, _ = m.w.Stop(ctx, s.Ref) // a missing attempt is a valid outcome
	case 6:
		_ = m.w.Throttle(ctx, s.Ref, s.Lease.Milliseconds()/4) // a missing attempt is a valid outcome
	}
	time.Sleep(s.Pause)
}

// progress returns the latest progress of an attempt in the history.
func (m *model) progress(r plat.Ref) time.Duration {
	p := m.startProgress[r]
	for _, i := range m.w.History() {
		if i.Ref == r {
			p = i.End
		}
	}
	return p
}

// check returns an error for the first invariant that the history violates.
func (m *model) check() error {
	h := m.w.History()
	at := make(map[plat.Ref]time.Duration)
	newest := make(map[ident.Task]ident.Attempt)
	for _, i := range h {
		want, ran := at[i.Ref]
		if !ran {
			want = m.startProgress[i.Ref]
		}
		switch {
		case i.To.After(m.leases[i.Ref]):
			return errors.Newf("%v ran until %v, after its lease deadline %v", i.Ref, i.To, m.leases[i.Ref])
		case i.Start != want:
			return errors.Newf("%v resumed from progress %v, want %v", i.Ref, i.Start, want)
		case i.End-i.Start > i.To.Sub(i.From) || i.End > taskWork:
			return errors.Newf("%v made progress %v to %v in %v", i.Ref, i.Start, i.End, i.To.Sub(i.From))
		case i.Attempt < newest[i.Task]:
			return errors.Newf("%v ran after attempt %d", i.Ref, newest[i.Task])
		}
		at[i.Ref], newest[i.Task] = i.End, i.Attempt
	}
	if !m.w.Peak().Fits(sizes.Resources{Processors: 2000, Memory: 2 << 30}) {
		return fmt.Errorf("the declared sizes add up to %+v, more than the worker has", m.w.Peak())
	}
	return worker.Overlap(h)
}

// Guards against sequences of calls after which a task runs past its lease, concurrently with another attempt or beyond
// the worker's capacity, or after which progress is lost or repeated.
func TestCallsPreserveLeaseInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		storeDown := rapid.IntRange(0, 10).Draw(rt, "calls with a failing store")
		var violation error
		synctest.Test(t, func(t *testing.T) {
			s := store.New(store.Options{Latency: 3 * time.Millisecond})
			rule := script.Rule{Action: script.Down, First: 2, Count: int64(storeDown)}
			if storeDown > 0 {
				must(t, s.Faults().Set(rule))
			}
			m := &model{
				w: worker.New(worker.Options{
					Worker: "w1", Total: sizes.Resources{Processors: 2000, Memory: 2 << 30}, Objects: s,
				}),
				leases: make(map[plat.Ref]time.Time), startProgress: make(map[plat.Ref]time.Duration),
				checkpoints: make(map[string]time.Duration), latest: make(map[ident.Job]string),
			}
			defer m.w.Close()
			for _, st := range steps {
				m.apply(t, st)
			}
			time.Sleep(10 * time.Second)
			violation = m.check()
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}
