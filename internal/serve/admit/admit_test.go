package admit_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/serve/admit"
)

const ms = time.Millisecond

func acquire(t *testing.T, p *admit.Pool, kind string, within time.Duration) (*admit.Grant, error) {
	t.Helper()
	return p.Acquire(t.Context(), kind, time.Now().Add(within))
}

// run simulates a request with run time d and returns the time from its arrival to its completion.
func run(t *testing.T, p *admit.Pool, kind string, d time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	g, err := acquire(t, p, kind, time.Hour)
	if err != nil {
		t.Errorf("%s was refused: %v", kind, err)
		return 0
	}
	time.Sleep(d)
	g.Release(true)
	return time.Since(start)
}

// train gives the pool samples of short and long requests.
func train(t *testing.T, p *admit.Pool) {
	t.Helper()
	for range 20 {
		run(t, p, "short", 10*ms)
	}
	run(t, p, "long", 500*ms)
	for range 8 {
		run(t, p, "short", 10*ms)
	}
}

// Guards against head-of-line blocking: short requests must not wait for long ones that fill the slots or the queue.
func TestShortIsNotBlockedByLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{LongPerSlot: 4})
		p.SetSlots(4)
		train(t, p)
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { run(t, p, "long", 500*ms) })
		}
		synctest.Wait()
		if got := p.InFlight(); got != 3 {
			t.Errorf("%d long requests occupy slots, want 3 of 4", got)
		}
		if d := run(t, p, "short", 10*ms); d > 11*ms {
			t.Errorf("short request took %v behind long ones", d)
		}
		wg.Wait()
	})
}

// Guards against short requests that queue behind long ones that arrived earlier.
func TestShortOvertakesLongInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(4)
		train(t, p)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { run(t, p, "short", 20*ms) })
		}
		time.Sleep(ms)
		for range 3 {
			wg.Go(func() { run(t, p, "long", 500*ms) })
		}
		time.Sleep(ms)
		for range 8 {
			wg.Go(func() {
				if d := run(t, p, "short", 10*ms); d > 40*ms {
					t.Errorf("short request took %v", d)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against starvation of a long request by a steady flow of short ones.
func TestLongDoesNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(2)
		train(t, p)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				for ctx.Err() == nil {
					run(t, p, "short", 10*ms)
				}
			})
		}
		time.Sleep(50 * ms)
		if d := run(t, p, "long", 500*ms); d > 3*time.Second {
			t.Errorf("long request took %v among short ones", d)
		}
		cancel()
		wg.Wait()
	})
}

// Guards against requests that are queued although they cannot complete before their deadlines, and against unbounded
// queues.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{ShortPerSlot: 2})
		want := func(name string, err error, reason wire.Reason) {
			t.Helper()
			var r *admit.RefusalError
			if !errors.As(err, &r) || r.Reason != reason || r.RetryAfter <= 0 {
				t.Errorf("%s: got %v, want a refusal for %v with a time to retry", name, err, reason)
			}
		}
		_, err := acquire(t, p, "short", time.Hour)
		want("no slots", err, wire.ReasonNoTarget)
		p.SetSlots(1)
		_, err = acquire(t, p, "new", -ms)
		want("passed deadline", err, wire.ReasonDeadline)
		train(t, p)
		g, err := acquire(t, p, "short", 100*ms)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err = acquire(t, p, "short", 12*ms)
		want("wait and run exceed the deadline", err, wire.ReasonDeadline)
		if d := time.Since(start); d != 0 {
			t.Errorf("refusal took %v", d)
		}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				_, err := acquire(t, p, "short", 100*ms)
				want("deadline passed in the queue", err, wire.ReasonDeadline)
			})
		}
		synctest.Wait()
		start = time.Now()
		_, err = acquire(t, p, "short", time.Hour)
		want("queue is full", err, wire.ReasonOverloaded)
		if d := time.Since(start); d != 0 {
			t.Errorf("refusal took %v", d)
		}
		wg.Wait()
		g.Release(true)
		if p.InFlight() != 0 || p.Queued() != 0 {
			t.Errorf("%d in flight and %d queued at the end", p.InFlight(), p.Queued())
		}
	})
}

// Guards against relayed requests that queue at the second entry: the first entry would record their wait as run
// time.
func TestTryAcquireDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(1)
		g, err := p.TryAcquire("short", time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		var r *admit.RefusalError
		if _, err := p.TryAcquire("short", time.Now().Add(time.Hour)); !errors.As(err, &r) || time.Since(start) != 0 {
			t.Errorf("got %v after %v, want a refusal at once", err, time.Since(start))
		}
		g.Release(true)
		if _, err := p.TryAcquire("short", time.Now().Add(time.Second)); err != nil {
			t.Errorf("a free slot was refused: %v", err)
		}
	})
}

// Guards against requests that start so late that a run slightly slower than expected misses the deadline.
func TestQueueLeavesSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(1)
		for i := range 40 {
			run(t, p, "short", time.Duration(80+40*(i%2))*ms) // mean 100 ms, mean deviation 20 ms
		}
		g, err := acquire(t, p, "short", time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := acquire(t, p, "short", 300*ms); err == nil || time.Since(start) > 180*ms {
			t.Errorf("left the queue with %v after %v, want a refusal 120 ms or more before the deadline", err, time.Since(start))
		}
		g.Release(true)
	})
}

// Guards against an estimate that is too high, refuses all requests of its kind and so is never corrected.
func TestProbeCorrectsEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(4)
		run(t, p, "a", 10*time.Second)
		admitted := 0
		for range 60 {
			time.Sleep(500 * ms)
			if g, err := acquire(t, p, "a", time.Second); err == nil {
				admitted++
				time.Sleep(10 * ms)
				g.Release(true)
			}
		}
		if admitted < 20 {
			t.Errorf("%d of 60 requests were admitted after the run time had shrunk", admitted)
		}
	})
}

// Guards against a service with a single kind of request that counts as long after a sudden rise of its run time.
func TestOnlyKindIsNotLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(4)
		for i := range 60 {
			run(t, p, "a", time.Duration(1+i/30*50)*ms)
		}
		g, err := acquire(t, p, "a", time.Hour)
		if err != nil || g.IsLong() {
			t.Errorf("got %+v and %v, want a short request", g, err)
		}
	})
}

// Guards against slots that leak when a caller cancels while its request is queued.
func TestCancelledWaiterLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(1)
		g, err := acquire(t, p, "a", time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() {
			if _, err := p.Acquire(ctx, "a", time.Now().Add(time.Hour)); !errors.Is(err, context.Canceled) {
				t.Errorf("got %v, want the cancellation", err)
			}
		})
		synctest.Wait()
		cancel()
		g.Release(true)
		wg.Wait()
		if p.InFlight() != 0 || p.Queued() != 0 {
			t.Errorf("%d in flight and %d queued at the end", p.InFlight(), p.Queued())
		}
	})
}

// Guards against an entry that refuses requests long after a disturbance while its slots are idle. An estimate that
// has risen above the deadlines must be corrected within seconds, because demand changes within seconds.
func TestEstimateRecoversWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(8)
		for range 16 {
			run(t, p, "booking", 2*time.Second)
		}
		refused := 0
		for range 300 { // 100 requests a second for 3 s
			g, err := p.Acquire(t.Context(), "booking", time.Now().Add(400*ms))
			if err != nil {
				refused++
			} else {
				time.AfterFunc(50*ms, func() { g.Release(true) })
			}
			time.Sleep(10 * ms)
		}
		if refused > 200 {
			t.Errorf("%d of 300 requests were refused while slots were idle, want at most 200, which is 2 s", refused)
		}
	})
}
