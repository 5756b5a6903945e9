package owner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// Guards against a task that runs on two workers: an inventory from before a start arrives late and is taken for the
// response to the Adopt that asks about that start.
func TestLateInventoryProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, store.Options{Latency: 5 * time.Millisecond}, 1)
		var adopts, inventories atomic.Int64
		c.deliveryOf = func(m wire.Message) delivery {
			switch m.Kind() {
			case wire.KindAdopt:
				return delivery{duplicated: adopts.Add(1) == 1}
			case wire.KindInventory:
				if inventories.Add(1) == 2 {
					return delivery{delay: 7 * time.Second}
				}
			}
			return delivery{}
		}
		c.addEntry("e1")
		c.addWorkers(1)
		c.submit(spec("plan", 4, "run=30s"))
		time.Sleep(2 * time.Second)
		if n := len(c.intervals()); n != 4 || inventories.Load() != 2 {
			t.Fatalf("%d attempts run, %d inventories sent; want 4 and 2", n, inventories.Load())
		}
		c.addWorker("w9", "rack9")
		if st := c.finish("plan", 2*time.Minute); st.Done != 4 {
			t.Errorf("final status %+v", st)
		}
		c.checkIntervals()
		if n := len(c.intervals()); n != 4 {
			t.Errorf("%d attempts ran, want 4: %+v", n, c.intervals())
		}
	})
}
