package lead

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/pause"
	"trefoilramp.org/trefoilramp/internal/core/stall"
	"trefoilramp.org/trefoilramp/internal/jobs/evac"
)

// evacuationRetry is the delay after a failed read of the evacuated zones, shorter than pollEvery because all starts end
// when no read succeeds for some seconds.
const evacuationRetry = 200 * time.Millisecond

// Evacuations reads the availability zones that the operator has evacuated.
type Evacuations interface {
	// Read returns the evacuated zones. An evacuation that was acknowledged before the call, and not withdrawn since, is
	// in the result.
	Read(ctx context.Context) ([]string, error)
}

// evacuationsRead is the result of one read of the evacuated zones.
type evacuationsRead struct {
	zones []string
	began time.Time
	err   error
}

// evacuation is what a term knows about evacuated zones.
type evacuation struct {
	state      *evac.State         // nil if the deployment has no bound for evacuations
	isFailing  bool                // the last read failed
	unknown    map[string]struct{} // evacuated zones without workers that were logged
	isWithheld bool                // a worker was left out of the current placement because of an evacuation
}

// newEvacuation returns the evacuations before the first read.
func newEvacuation(cfg Config) evacuation {
	if cfg.Evacuations == nil {
		return evacuation{}
	}
	return evacuation{state: evac.New(cfg.EvacuationBound), unknown: make(map[string]struct{})}
}

func (t *Term) usesEvacuations() bool { return t.evacuation.state != nil }

func (t *Term) recordEvacuated() { t.cfg.Meter.ZonesEvacuated(len(t.evacuation.state.Zones())) }

func (t *Term) readEvacuations(ctx context.Context) evacuationsRead {
	limited, cancel := stall.WithTimeout(ctx, readTimeout, readTimeout)
	defer cancel()
	ev := evacuationsRead{began: time.Now()}
	ev.zones, ev.err = t.cfg.Evacuations.Read(limited)
	return ev
}

// pollEvacuations reads the evacuated zones regularly. It does not share the loop of pollChanges, whose reads of other
// tables would delay it by seconds while the store is slow.
func (t *Term) pollEvacuations(ctx context.Context) {
	for delay := pollEvery; pause.For(ctx, delay); {
		ev := t.readEvacuations(ctx)
		delay = pollEvery
		if ev.err != nil {
			delay = evacuationRetry
		}
		t.events.Put(ctx, ev)
	}
}

// applyEvacuations applies a read: it cancels unconfirmed starts in zones that are evacuated, and lets steps consider the
// workers again on which starts are allowed again.
func (t *Term) applyEvacuations(ev evacuationsRead, now time.Time) {
	if ev.err != nil {
		if !t.evacuation.isFailing {
			event.Log(t.cfg.Log, event.EvacuationsNotRead, zap.Time("LastRead", t.evacuation.state.ReadAt()), zap.Error(ev.err))
		}
		t.evacuation.isFailing = true
		return
	}
	t.evacuation.isFailing = false
	wasCurrent := t.evacuation.state.IsCurrent(now)
	added, removed := t.evacuation.state.Apply(ev.zones, ev.began)
	for _, z := range added {
		event.Log(t.cfg.Log, event.ZoneEvacuated, zap.String("Zone", z), zap.Bool("Evacuated", true))
	}
	for _, z := range removed {
		delete(t.evacuation.unknown, z)
		event.Log(t.cfg.Log, event.ZoneEvacuated, zap.String("Zone", z), zap.Bool("Evacuated", false))
	}
	for _, w := range t.workers {
		if w.isInZone(added) {
			t.cancelUnconfirmed(w)
		}
		if !wasCurrent || w.isInZone(removed) {
			t.fleet.touch(w)
		}
	}
	t.logUnknownZones()
}

// allowsStart reports whether no evacuation keeps runs from being started on a worker. If the worker announces another
// zone than its agent has registered, neither may be evacuated.
func (t *Term) allowsStart(w *worker, now time.Time) bool {
	return !t.usesEvacuations() || t.evacuation.state.Allows(w.state.Zone, now) && t.evacuation.state.Allows(w.agent.Zone, now)
}

// isInZone reports whether one of the zones is that of the worker or its agent.
func (w *worker) isInZone(zones []string) bool {
	return slices.Contains(zones, w.state.Zone) || slices.Contains(zones, w.agent.Zone)
}

// cancelUnconfirmed cancels the starts that a worker has not confirmed, since its agent may repeat them. Without a session,
// reconcile does so when the agent connects again.
func (t *Term) cancelUnconfirmed(w *worker) {
	if w.link == nil || !w.synced {
		return
	}
	for key, r := range w.runs {
		if r.listed || r.cancelling || r.startBlocked {
			continue
		}
		o := w.outgoing()
		o.Cancels = append(o.Cancels, key)
		r.commandSeq, r.cancelling = w.commandSeq+1, true
		event.Log(t.cfg.Log, event.RunStopped, zap.String("Task", key.Task), zap.Int("Run", key.Number),
			zap.String("Worker", w.state.Incarnation.ID), zap.String("Reason", "zone is evacuated and the start is unconfirmed"))
	}
}

// logUnknownZones logs each evacuated zone once in which no worker is. It does nothing while no worker is known.
func (t *Term) logUnknownZones() {
	if len(t.workers) == 0 {
		return
	}
	for _, z := range t.evacuation.state.Zones() {
		if _, isLogged := t.evacuation.unknown[z]; isLogged {
			continue
		}
		isKnown := false
		for _, w := range t.workers {
			isKnown = isKnown || w.isInZone([]string{z})
		}
		if !isKnown {
			t.evacuation.unknown[z] = struct{}{}
			event.Log(t.cfg.Log, event.ZoneUnknown, zap.String("Zone", z))
		}
	}
}

// startBefore returns until when, on the clock of a worker's agent, the agent may send the starts of this pass to the
// worker; 0 stands for no limit. The agent read its clock before the report arrived, so that the limit is not late.
func (t *Term) startBefore(w *worker) int64 {
	if !t.usesEvacuations() || w.agentClock == 0 {
		return 0
	}
	rest := t.evacuation.state.StartBefore().Sub(w.agentClockAt)
	return max(1, w.agentClock+time.Duration(float64(rest)/clockDriftFactor).Milliseconds())
}
