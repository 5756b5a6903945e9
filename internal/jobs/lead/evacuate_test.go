package lead_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
	"trefoilramp.org/trefoilramp/internal/stand/runs"
	"trefoilramp.org/trefoilramp/platform"
)

const (
	evacBound    = 3 * time.Second // shorter than the lease, without which a worker starts nothing
	operatorName = "operator"
	readsOf      = "evacuations of "      // before the name of an entry: caller of its reads of evacuations
	readWithin   = 720 * time.Millisecond // until the leader has read a change and its commands have arrived
	longJob      = 9000                   // its runs take 20 s
)

// evacuator evacuates zones of a cluster.
type evacuator struct {
	usesEvacuations bool
	withheld        atomic.Int64 // steps that the leaders have counted as withheld
	evacs           []evacuation // in the order of the operator
	lateRead        atomic.Int64 // delay of the answer to the next read of evacuations, after which reads of entry-1 fail
	held            sync.Map     // until when messages to an agent are held, as if it were stopped; by its name
}

// evacuation is an evacuation of a zone.
type evacuation struct {
	zone                string
	storedAt, removedAt time.Time // acknowledgement of the store, and start of the withdrawal or zero
}

// evacuationReader implements lead.Evacuations.
type evacuationReader struct {
	lead.Evacuations
	cluster *cluster
}

func (c *cluster) evacuations(entry string) lead.Evacuations {
	return evacuationReader{platform.NewEvacuations(c.store.Client(readsOf + entry)), c}
}

func (r evacuationReader) Read(ctx context.Context) ([]string, error) {
	zones, err := r.Evacuations.Read(ctx)
	if d := r.cluster.lateRead.Swap(0); d > 0 {
		r.cluster.set(r.cluster.storeDown, readsOf+"entry-1", true)
		time.Sleep(time.Duration(d))
	}
	return zones, err
}

// evacuate evacuates a zone, or withdraws the evacuation.
func (c *cluster) evacuate(zone string, on bool) {
	c.t.Helper()
	change := rows.Change{Puts: []rows.Row{{Ref: platform.EvacuationRef(zone), Value: []byte("{}")}}}
	if !on {
		change = rows.Change{Deletes: []rows.Ref{platform.EvacuationRef(zone)}}
		i := slices.IndexFunc(c.evacs, func(e evacuation) bool { return e.zone == zone && e.removedAt.IsZero() })
		c.evacs[i].removedAt = time.Now()
	}
	if _, err := c.store.Client(operatorName).Change(c.ctx, change); err != nil {
		c.t.Error(err)
	}
	if on {
		c.evacs = append(c.evacs, evacuation{zone: zone, storedAt: time.Now()})
	}
}

// checkStarts reports an error unless starts reach workers of a zone in a period, or none do.
func (c *cluster) checkStarts(zone string, from, to time.Time, want bool) {
	c.t.Helper()
	n := 0
	for _, list := range c.records() {
		for _, r := range list {
			if c.hosts[r.Worker].worker.Zone == zone && r.Commanded.After(from) && r.Commanded.Before(to) {
				n++
			}
		}
	}
	if (n > 0) != want {
		c.t.Errorf("%d starts in %s from %v to %v; want some: %v", n, zone, from, to, want)
	}
}

// awaitStarts checks the starts of the next time.
func (c *cluster) awaitStarts(zone string, d time.Duration, want bool) {
	c.t.Helper()
	from := time.Now()
	time.Sleep(d)
	c.checkStarts(zone, from, time.Now(), want)
}

// checkEvacuated reports starts that reached a worker of an evacuated zone after the bound.
func (c *cluster) checkEvacuated() {
	c.t.Helper()
	for _, e := range c.evacs {
		to := e.removedAt
		if to.IsZero() {
			to = time.Now()
		}
		c.checkStarts(e.zone, e.storedAt.Add(evacBound), to, false)
	}
}

// withZones runs f in virtual time with two entries, of which entry-1 leads, and a worker in each of two zones; jobs arrive
// all the time, with more work than one of the workers can do.
func withZones(t *testing.T, f func(c *cluster)) {
	t.Helper()
	inCluster(t, func(c *cluster) {
		c.usesEvacuations = true
		c.plan = func(r wire.Run) runs.Plan {
			p := runs.Plan{Size: sizes.Resources{Processors: 1000}, RunTime: time.Second}
			if strings.HasPrefix(r.Task, string(job(longJob, 1, 1).ID)) {
				p.RunTime = 20 * time.Second
			}
			return p
		}
		c.addEntry("entry-1")
		time.Sleep(500 * time.Millisecond)
		c.addEntry("entry-2")
		c.addHostIn("agadir", "host-1", 4000)
		c.addHostIn("bergen", "host-2", 4000)
		time.Sleep(3 * time.Second)
		ctx, stop := context.WithCancel(c.ctx)
		var callers sync.WaitGroup
		callers.Go(func() {
			for n := 1; ctx.Err() == nil; n++ {
				c.submitUntil(job(n, 1, 1))
				wait(ctx, 180*time.Millisecond)
			}
		})
		time.Sleep(time.Second)
		f(c)
		stop()
		callers.Wait()
		c.checkEvacuated()
	})
}

// Guards against starts in an evacuated zone after the bound, and against a zone or a step that stays without starts once the
// evacuation is withdrawn: with one zone, with both, with overlapping evacuations and with evacuations in quick succession.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	withZones(t, func(c *cluster) {
		c.awaitStarts("agadir", 3*time.Second, true)
		c.evacuate("agadir", true)
		time.Sleep(evacBound - time.Second)
		c.evacuate("bergen", true) // overlaps with the first
		time.Sleep(evacBound)
		c.awaitStarts("bergen", 3*time.Second, false)
		if n := c.withheld.Load(); n == 0 || n > 100 {
			t.Errorf("%d steps count as withheld", n)
		}
		c.evacuate("agadir", false)
		c.awaitStarts("agadir", 2*time.Second, true)
		for range 10 {
			c.evacuate("bergen", c.evacs[len(c.evacs)-1].removedAt.After(time.Time{}))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(2 * evacBound)
		c.evacuate("bergen", false)
		c.awaitStarts("bergen", 2*time.Second, true)
	})
}

// Guards against runs that are stopped by an evacuation although they were started before, and against a new leader that
// starts runs before it has read the evacuations.
func TestStartedRunsContinue(t *testing.T) {
	withZones(t, func(c *cluster) {
		j := job(longJob, 1, 2)
		j.Steps[0].PerWorker, j.Steps[0].Estimate = 1, 20_000
		c.submit(j)
		time.Sleep(2 * time.Second)
		c.evacuate("agadir", true)
		time.Sleep(evacBound)
		c.kill("entry-1")
		c.awaitState(j.ID, rows.Done, 25*time.Second)
		if n := len(runsOf(c, j.ID)); n != 2 {
			t.Errorf("%d runs of 2 tasks; want 2", n)
		}
	})
}

// Guards against starts of leaders that cannot learn of an evacuation, and against starts that reach a worker late: the leader is
// killed or cut off from the store, its reads fail or are late, or an agent is stopped, before the evacuation.
func TestEvacuationDuringFailures(t *testing.T) {
	faults := func(f func(string) memory.Fault) func(*cluster) { return func(c *cluster) { c.setFaults(f) } }
	down := func(caller string, down bool) func(*cluster) {
		return func(c *cluster) { c.set(c.storeDown, caller, down) }
	}
	none := func(*cluster) {}
	for _, test := range []struct {
		name       string
		begin, end func(c *cluster)
	}{
		{"leader killed", func(c *cluster) { c.kill("entry-1") }, none},
		{"leader hands over", func(c *cluster) { c.stop("entry-1") }, none},
		{"leader cut off", down("entry-1", true), down("entry-1", false)},
		{"store unavailable", faults(func(string) memory.Fault { return memory.Fault{Refuse: true} }), faults(nil)},
		{"slow store", faults(func(string) memory.Fault { return memory.Fault{Slow: 1400 * time.Millisecond} }), faults(nil)},
		{"reads fail", down(readsOf+"entry-1", true), down(readsOf+"entry-1", false)},
		{"last read late", func(c *cluster) {
			for c.lateRead.Store(int64(1400 * time.Millisecond)); c.lateRead.Load() > 0; {
				time.Sleep(time.Millisecond)
			}
		}, down(readsOf+"entry-1", false)},
		{"agent stopped", func(c *cluster) { c.held.Store("host-1", time.Now().Add(evacBound+400*time.Millisecond)) }, none},
	} {
		for _, before := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second} {
			t.Run(test.name+", "+before.String(), func(t *testing.T) {
				withZones(t, func(c *cluster) {
					test.begin(c)
					time.Sleep(before)
					c.evacuate("agadir", true)
					time.Sleep(3 * evacBound)
					test.end(c)
					c.awaitStarts("bergen", 3*evacBound, true)
					c.evacuate("agadir", false)
					c.awaitStarts("agadir", 2*evacBound, true)
				})
			})
		}
	}
}

// Guards against a start that an agent repeats after it has learned of the evacuation.
func TestUnconfirmedStartIsCancelled(t *testing.T) {
	withZones(t, func(c *cluster) {
		h := c.hosts["host-1"]
		for n := range 8 { // at different times between two reads
			h.worker.SetFaults(func() runs.Fault { return runs.Fault{LoseLate: time.Hour} })
			time.Sleep(time.Duration(300+90*n) * time.Millisecond)
			c.evacuate("agadir", true)
			time.Sleep(readWithin)
			h.worker.SetFaults(nil)
			c.awaitStarts("agadir", 2*time.Second, false)
			c.evacuate("agadir", false)
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against a blocked step that notices the end of an evacuation, or of a failure to read, only by the next report of
// a worker, and against events that are missing or logged with each read.
func TestBlockedStepStartsAtOnce(t *testing.T) {
	inCluster(t, func(c *cluster) {
		core, logged := observer.New(zap.InfoLevel)
		c.usesEvacuations, c.log = true, zap.New(core)
		c.addEntry("entry-1")
		c.addHostIn("agadir", "host-1", 4000)
		time.Sleep(3 * time.Second)
		for n := range 6 {
			c.evacuate("agadir", true)
			c.evacuate("nowhere", true)
			time.Sleep(time.Second)
			j := job(n+1, 1, 1)
			c.submit(j)
			time.Sleep(time.Second + time.Duration(170*n)*time.Millisecond)
			c.set(c.storeDown, readsOf+"entry-1", n%2 > 0)
			time.Sleep(evacBound)
			c.evacuate("agadir", false)
			c.evacuate("nowhere", false)
			c.set(c.storeDown, readsOf+"entry-1", false)
			time.Sleep(readWithin)
			if n := len(runsOf(c, j.ID)); n != 1 {
				t.Errorf("%d runs %v after the evacuation; want 1", n, readWithin)
			}
			c.awaitState(j.ID, rows.Done, 5*time.Second)
		}
		for number, want := range map[event.Number]int{event.ZoneEvacuated: 24, event.ZoneUnknown: 6, event.EvacuationsNotRead: 3} {
			if n := logged.FilterField(zap.Int("Event", int(number))).Len(); n != want {
				t.Errorf("%v is logged %d times; want %d", number, n, want)
			}
		}
	})
}
