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

// run acquires, sleeps for the run time and releases; it returns the time from arrival to completion.
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

func learn(t *testing.T, p *admit.Pool) {
	t.Helper()
	for range 20 {
		run(t, p, "short", 10*ms)
	}
	run(t, p, "long", 500*ms)
	for range 8 {
		run(t, p, "short", 10*ms)
	}
}

// Guards against head-of-line blocking: short work must not wait for long work that fills the slots or the queue.
func TestShortIsNotBlockedByLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{LongPerSlot: 4})
		p.SetSlots(4)
		learn(t, p)
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { run(t, p, "long", 500*ms) })
		}
		synctest.Wait()
		if got := p.InFlight(); got != 3 {
			t.Errorf("%d long requests hold slots, want 3 of 4", got)
		}
		if d := run(t, p, "short", 10*ms); d > 11*ms {
			t.Errorf("short request took %v behind long ones", d)
		}
		wg.Wait()
	})
}

// Guards against a queue in which long work that came first delays short work.
func TestShortOvertakesLongInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(4)
		learn(t, p)
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

// Guards against starvation: a steady flow of short work must not keep a long request in the queue for ever.
func TestLongDoesNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := admit.NewPool(admit.Config{})
		p.SetSlots(2)
		learn(t, p)
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

// Guards against requests that wait although they cannot complete in time, and against unbounded queues.
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
		learn(t, p)
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

// Guards against a relayed request that queues at a second entry, whose wait the first one would learn as run time.
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

// Guards against requests that leave the queue so late that a run which is only a little slow passes the deadline.
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

// Guards against an estimate that was once too high and refuses its kind for ever.
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

// Guards against a service whose run time rises at once and whose only kind of request then counts as long.
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

// Guards against slots that stay taken when a caller gives up in the queue.
func TestCancelledWaiterLeavesNoSlotTaken(t *testing.T) {
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

// Guards against an entry that refuses for long after a disturbance although its slots are idle: an estimate that has
// risen above the deadlines must be corrected within seconds, since demand swings within seconds.
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
			t.Errorf("%d of 300 requests were refused beside idle slots, want at most 200, which is 2 s", refused)
		}
	})
}
