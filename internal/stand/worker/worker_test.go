package worker_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/plat/remote"
	plat "trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	"trefoilramp.org/trefoilramp/internal/stand/worker"
)

var size = sizes.Resources{Processors: 1000, Memory: 1 << 30}

func ref(job string, attempt ident.Attempt) plat.Ref {
	return plat.Ref{Task: ident.Task{Job: ident.Job(job)}, Attempt: attempt}
}

func start(r plat.Ref, command string, lease time.Duration) plat.Start {
	return plat.Start{Ref: r, Command: command, Size: size, Deadline: time.Now().Add(lease)}
}

// bubble runs a test in a synctest bubble on an idle worker w1 with 4 processors and 4 GiB, and its store.
func bubble(t *testing.T, run func(t *testing.T, w *worker.Worker, s *store.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{})
		w := worker.New(worker.Options{
			Worker: "w1", Total: sizes.Resources{Processors: 4000, Memory: 4 << 30}, Lag: time.Second, Objects: s,
		})
		defer w.Close()
		run(t, w, s)
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func status(t *testing.T, w plat.Platform, r plat.Ref) plat.Status {
	t.Helper()
	list, err := w.Tasks(t.Context())
	must(t, err)
	for _, s := range list {
		if s.Ref == r {
			return s
		}
	}
	t.Fatalf("no attempt %v in %v", r, list)
	return plat.Status{}
}

// Guards against a worker that runs a task past its lease deadline, or loses progress during a pause.
func TestPauseAtDeadlineAndResume(t *testing.T) {
	bubble(t, func(t *testing.T, w *worker.Worker, _ *store.Store) {
		r := ref("a", 1)
		started := time.Now()
		must(t, w.Start(t.Context(), start(r, "run=10s", 4*time.Second)))
		time.Sleep(20 * time.Second)
		if s := status(t, w, r); s.State != plat.Paused || s.RunTime != 4*time.Second {
			t.Errorf("after the deadline: %v after %v", s.State, s.RunTime)
		}
		refused, err := w.Renew(t.Context(), []plat.Renewal{
			{Ref: r, Deadline: time.Now().Add(time.Minute)}, {Ref: ref("b", 1), Deadline: time.Now().Add(time.Minute)},
		})
		if err != nil || len(refused) != 1 || refused[0] != ref("b", 1) {
			t.Errorf("refused renewals are %v, %v", refused, err)
		}
		time.Sleep(6*time.Second + time.Millisecond)
		if s := status(t, w, r); s.State != plat.Done || s.Result != plat.ResultName(r) {
			t.Errorf("after the run time: %+v", s)
		}
		h := w.History()
		if len(h) != 2 || h[0].To.Sub(started) != 4*time.Second || h[1].From.Sub(started) != 20*time.Second {
			t.Errorf("history is %+v", h)
		}
	})
}

// Guards against starts that would run a task twice, after its deadline or beyond the worker's capacity.
func TestRefusedStarts(t *testing.T) {
	bubble(t, func(t *testing.T, w *worker.Worker, _ *store.Store) {
		ctx := t.Context()
		must(t, w.Start(ctx, start(ref("a", 2), "run=1h", time.Hour)))
		large := start(ref("c", 1), "run=1s", time.Hour)
		large.Size.Memory = 4 << 30
		if _, err := w.Stop(ctx, ref("d", 3)); !errors.Is(err, plat.ErrNotFound) {
			t.Errorf("stop of an attempt that was never started: %v", err)
		}
		tests := []struct {
			name  string
			start plat.Start
			want  error
		}{
			{"same attempt", start(ref("a", 2), "run=1s", time.Hour), plat.ErrDuplicate},
			{"lower attempt", start(ref("a", 1), "run=1s", time.Hour), plat.ErrSuperseded},
			{"next attempt while one runs", start(ref("a", 3), "run=1s", time.Hour), plat.ErrBusy},
			{"passed deadline", start(ref("b", 1), "run=1s", 0), plat.ErrExpired},
			{"too large", large, plat.ErrTooLarge},
			{"stopped before it arrived", start(ref("d", 3), "run=1s", time.Hour), plat.ErrDuplicate},
		}
		for _, test := range tests {
			if err := w.Start(ctx, test.start); !errors.Is(err, test.want) {
				t.Errorf("%s: %v, want %v", test.name, err, test.want)
			}
		}
	})
}

// Guards against progress that is lost or repeated when a task is evicted, including while the store fails.
func TestCheckpointAndResume(t *testing.T) {
	bubble(t, func(t *testing.T, w *worker.Worker, s *store.Store) {
		ctx := t.Context()
		first, second := ref("a", 1), ref("a", 2)
		must(t, w.Start(ctx, start(first, "run=10s", time.Hour)))
		time.Sleep(3 * time.Second)
		must(t, s.Faults().Set(script.Rule{Action: script.Down, Count: 1}))
		if _, err := w.Checkpoint(ctx, first, true); !errors.Is(err, plat.ErrStore) {
			t.Errorf("checkpoint without a store: %v", err)
		}
		time.Sleep(time.Second)
		must(t, s.Faults().Set(script.Rule{Action: script.Slow, Count: 1, Delay: script.Duration(time.Second)}))
		st, err := w.Checkpoint(ctx, first, true)
		if err != nil || st.State != plat.Stopped || st.RunTime != 4*time.Second {
			t.Fatalf("checkpoint: %+v, %v", st, err)
		}
		again, err := w.Checkpoint(ctx, first, true)
		if err != nil || again.Checkpoint != st.Checkpoint {
			t.Errorf("repeated checkpoint: %+v, %v", again, err)
		}
		must(t, w.Forget(ctx, first))
		resumed := start(second, "run=10s", time.Hour)
		resumed.Checkpoint = st.Checkpoint
		must(t, w.Start(ctx, resumed))
		must(t, w.Throttle(ctx, second, 500))
		time.Sleep(11 * time.Second)
		if s := status(t, w, second); s.State != plat.Running {
			t.Errorf("throttled task is %v", s.State)
		}
		time.Sleep(time.Second + time.Millisecond)
		if s := status(t, w, second); s.State != plat.Done || s.RunTime != 12*time.Second {
			t.Errorf("resumed task is %v after %v", s.State, s.RunTime)
		}
		if err := worker.Overlap(w.History()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a renewal that resumes an attempt while its last checkpoint is being written: the progress made
// meanwhile would be repeated.
func TestRenewalDuringCheckpoint(t *testing.T) {
	bubble(t, func(t *testing.T, w *worker.Worker, s *store.Store) {
		r := ref("a", 1)
		must(t, w.Start(t.Context(), start(r, "run=10s", time.Hour)))
		time.Sleep(2 * time.Second)
		must(t, s.Faults().Set(script.Rule{Action: script.Slow, Count: 1, Delay: script.Duration(time.Second)}))
		saved := make(chan plat.Status)
		go func() {
			st, err := w.Checkpoint(t.Context(), r, true)
			if err != nil {
				t.Error(err)
			}
			saved <- st
		}()
		time.Sleep(500 * time.Millisecond)
		if _, err := w.Checkpoint(t.Context(), r, false); !errors.Is(err, plat.ErrStore) {
			t.Errorf("second checkpoint during the first: %v", err)
		}
		refused, err := w.Renew(t.Context(), []plat.Renewal{{Ref: r, Deadline: time.Now().Add(2 * time.Hour)}})
		if err != nil || len(refused) != 0 {
			t.Errorf("refused renewals are %v, %v", refused, err)
		}
		if st := <-saved; st.State != plat.Stopped || st.RunTime != 2*time.Second {
			t.Errorf("after the checkpoint the attempt is %v after %v", st.State, st.RunTime)
		}
	})
}

// Guards against commands that are parsed wrongly: each word changes how or when a task ends.
func TestCommands(t *testing.T) {
	tests := []struct {
		command string
		after   time.Duration
		want    plat.State
	}{
		{"run=2s", 2 * time.Second, plat.Done},
		{"run=2s straggler=3", 5 * time.Second, plat.Running},
		{"run=2s straggler=3/1", 6 * time.Second, plat.Done},
		{"run=2s fail", 2 * time.Second, plat.Failed},
		{"run=2s fail=500ms", 500 * time.Millisecond, plat.Failed},
		{"run=2s fail-attempts=1", 2 * time.Second, plat.Failed},
		{"run=2s fail-on=w2,w3", 2 * time.Second, plat.Done},
		{"run=2s fail-on=w1", 2 * time.Second, plat.Failed},
		{"run=2s memory=5Gi", 0, plat.Failed},
		{"run=2s memory=3Gi", 0, plat.Running},
		{"walk=2s", 0, plat.Failed},
	}
	for _, test := range tests {
		bubble(t, func(t *testing.T, w *worker.Worker, _ *store.Store) {
			must(t, w.Start(t.Context(), start(ref("a", 1), test.command, time.Hour)))
			time.Sleep(test.after + time.Millisecond)
			synctest.Wait()
			if s := status(t, w, ref("a", 1)); s.State != test.want {
				t.Errorf("%q is %v (%s) after %v, want %v", test.command, s.State, s.Detail, test.after, test.want)
			}
		})
	}
}

// Guards against usage that is reported without the lag, and against a task that is Done before its result is stored.
func TestLagAndStoreOutage(t *testing.T) {
	bubble(t, func(t *testing.T, w *worker.Worker, s *store.Store) {
		r := ref("a", 1)
		must(t, s.Faults().Set(script.Rule{Action: script.Down, For: script.Duration(5 * time.Second)}))
		must(t, w.Start(t.Context(), start(r, "run=2s memory=2Gi", time.Hour)))
		time.Sleep(500 * time.Millisecond)
		if s := status(t, w, r); s.Used.Memory != 0 {
			t.Errorf("usage without lag is %+v", s.Used)
		}
		time.Sleep(time.Second)
		if s := status(t, w, r); s.Used.Memory != 2<<30 {
			t.Errorf("usage after the lag is %+v", s.Used)
		}
		time.Sleep(2 * time.Second)
		if s := status(t, w, r); s.State != plat.Storing {
			t.Errorf("state during the outage is %v", s.State)
		}
		time.Sleep(3 * time.Second)
		if s := status(t, w, r); s.State != plat.Done {
			t.Errorf("state after the outage is %v", s.State)
		}
	})
}

// Guards against a client that reports outcomes wrongly or returns other results than a direct call.
func TestClient(t *testing.T) {
	w := worker.New(worker.Options{Worker: "w1", Total: size, Objects: store.New(store.Options{})})
	defer w.Close()
	srv := httptest.NewServer(w.Handler())
	defer srv.Close()
	c := plat.NewClient(remote.Options{URL: srv.URL})
	defer c.Close()
	ctx := context.Background()
	if info, err := c.Describe(ctx); err != nil || info.Worker != "w1" || info.Total != size || info.Incarnation == "" {
		t.Errorf("Describe: %+v, %v", info, err)
	}
	must(t, w.Faults().Set(script.Rule{Action: script.LoseAfter, Kind: worker.KindStart, Count: 1}))
	r := ref("a", 1)
	if err := c.Start(ctx, start(r, "run=1h", time.Hour)); !errors.Is(err, plat.ErrUnknown) {
		t.Errorf("Start whose response is lost: %v", err)
	}
	if err := c.Start(ctx, start(r, "run=1h", time.Hour)); !errors.Is(err, plat.ErrDuplicate) {
		t.Errorf("repeated Start: %v", err)
	}
	if err := c.Start(ctx, start(ref("b", 1), "run=1h", time.Hour)); !errors.Is(err, plat.ErrTooLarge) {
		t.Errorf("Start beyond the capacity: %v", err)
	}
	must(t, c.Throttle(ctx, r, 100))
	refused, err := c.Renew(ctx, []plat.Renewal{{Ref: r, Deadline: time.Now().Add(2 * time.Hour)}})
	if err != nil || len(refused) != 0 {
		t.Errorf("Renew: %v, %v", refused, err)
	}
	if s, err := c.Checkpoint(ctx, r, false); err != nil || s.State != plat.Running || s.Checkpoint == "" ||
		s.Limit != 100 {
		t.Errorf("Checkpoint: %+v, %v", s, err)
	}
	if s, err := c.Stop(ctx, r); err != nil || s.State != plat.Stopped {
		t.Errorf("Stop: %+v, %v", s, err)
	}
	must(t, c.Forget(ctx, r))
	must(t, c.Forget(ctx, r))
	if list, err := c.Tasks(ctx); err != nil || len(list) != 0 {
		t.Errorf("Tasks: %v, %v", list, err)
	}
	must(t, w.Faults().Set(script.Rule{Action: script.Down}))
	if _, err := c.Stop(ctx, r); !errors.Is(err, plat.ErrUnavailable) {
		t.Errorf("Stop while down: %v", err)
	}
}
