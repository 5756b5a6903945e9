package driver

import (
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/impact"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	fullPace       = 100                    // percent
	minPace        = 8                      // percent; a lower pace becomes 0
	minPaceChange  = 12                     // percent; smaller changes are not sent
	commandExpiry  = 13 * time.Second       // after which a command without response is no longer executed
	repeatInterval = 900 * time.Millisecond // between repetitions of a pace during commandExpiry
	settleTime     = 350 * time.Millisecond // until a change shows in the measurements
	ownLoadWeight  = 0.5                    // weight of the newest measurement in the own load of a serving task
	haltAfter      = time.Second            // over the target, until all best-effort tasks are halted
	minHalt        = 600 * time.Millisecond
	maxHalt        = 5 * time.Second         // after which best-effort tasks are ruled out as the cause
	haltPause      = 1500 * time.Millisecond // after a halt of maxHalt, until the next one
	dropAfterPolls = 8                       // consecutive polls without a run after which its state is dropped
	servingPercent = 100                     // progress of a serving task that serves requests
	maxHints       = 256                     // interference weights that are kept for the next leader
)

// paceCommand changes the pace of a run.
type paceCommand struct {
	run     wire.Run
	percent int
	tail    int // worst tail latency of a serving task, in percent of its target
}

// trackedRun is the state of a run that matters for interference.
type trackedRun struct {
	wire.RunProfile
	missedPolls    int // consecutive polls that did not list the run
	percent        int // pace last sent; -1 if unconfirmed
	changedAt      time.Time
	uncertainUntil time.Time // an earlier command may still be executed until then
	hasOwnLoad     bool
	ownLoad        float64 // load of a serving task without interference
}

// pacer limits the processor share of best-effort tasks by their interference with the serving tasks on the worker.
type pacer struct {
	runs        map[wire.Run]*trackedRun
	table       *impact.Table
	hints       []impact.Pair // pairs of the last weights received, oldest first; at most maxHints
	overSince   time.Time     // when a serving task exceeded its target; zero if none does
	isHalted    bool          // all best-effort tasks are halted
	haltedAt    time.Time
	noHaltUntil time.Time // set after a halt that did not help

	// As of the last poll, with the runs started since:
	serving    []impact.Serving
	worstTail  int // worst tail latency of a serving task, in percent of its target
	bestEffort []*trackedRun
	fullLoads  []impact.Load // of bestEffort at full pace
}

func newPacer() pacer {
	return pacer{runs: make(map[wire.Run]*trackedRun), table: impact.NewTable()}
}

// addRun tracks a serving or best-effort run.
func (p *pacer) addRun(profile wire.RunProfile) {
	if (profile.Target > 0 || profile.BestEffort) && p.runs[profile.Run] == nil {
		p.runs[profile.Run] = &trackedRun{RunProfile: profile, percent: fullPace}
	}
}

// setWeights stores the interference weights that the leader has learned.
func (p *pacer) setWeights(list []wire.InterferenceWeight) {
	for _, w := range list {
		pair := impact.Pair{Serving: w.Serving, BestEffort: w.BestEffort}
		p.table.Set(pair, w.Weight)
		p.hints = append(slices.DeleteFunc(p.hints, func(h impact.Pair) bool { return h == pair }), pair)
	}
	p.hints = slices.Delete(p.hints, 0, max(0, len(p.hints)-maxHints))
}

// weights returns the interference weights last received from a leader. Pairs of images that have not run for long are
// left out, since a new leader receives the weights of all agents at once.
func (p *pacer) weights() []wire.InterferenceWeight {
	list := make([]wire.InterferenceWeight, 0, len(p.hints))
	for _, h := range p.hints {
		list = append(list, wire.InterferenceWeight{Serving: h.Serving, BestEffort: h.BestEffort, Weight: p.table.Weight(h)})
	}
	return list
}

// markUnconfirmed records that the worker did not confirm a pace. The pace is sent again, repeatedly until
// commandExpiry has passed, since the worker may execute the unconfirmed command after newer ones.
func (p *pacer) markUnconfirmed(r wire.Run, now time.Time) {
	if t := p.runs[r]; t != nil {
		t.percent, t.uncertainUntil = -1, now.Add(commandExpiry)
	}
}

// observe processes the measurements of a poll and returns the paces to change.
func (p *pacer) observe(running []wire.RunState, capacity int64, now time.Time) []paceCommand {
	seen := make(map[wire.Run]bool, len(p.runs))
	var loads, fullLoads []impact.Load
	var bestEffort []*trackedRun
	processors := float64(max(1, capacity))
	for i := range running {
		r := &running[i]
		t := p.runs[r.Run]
		if t == nil {
			continue
		}
		seen[r.Run] = true
		if t.BestEffort && t.Size > 0 {
			loads = append(loads, impact.Load{Image: t.Image, Use: float64(r.Measurement) / processors})
			fullLoads = append(fullLoads, impact.Load{Image: t.Image, Use: float64(t.Size) / processors})
			bestEffort = append(bestEffort, t)
		}
	}
	p.dropMissing(seen)
	serving, worstTail := p.servingLoads(running, loads)
	p.updateHalt(worstTail, now)
	p.serving, p.worstTail, p.bestEffort, p.fullLoads = serving, worstTail, bestEffort, fullLoads
	return p.planPaces(now)
}

// runStarted returns the paces to change after the start of a run.
func (p *pacer) runStarted(r wire.Run, capacity int64, now time.Time) []paceCommand {
	t := p.runs[r]
	if t == nil || !t.BestEffort || len(p.serving) == 0 || slices.Contains(p.bestEffort, t) {
		return nil
	}
	p.bestEffort = append(p.bestEffort, t)
	p.fullLoads = append(p.fullLoads, impact.Load{Image: t.Image, Use: float64(t.Size) / float64(max(1, capacity))})
	return p.planPaces(now)
}

// planPaces returns the paces to change for the best-effort tasks, based on the serving tasks in the last poll.
func (p *pacer) planPaces(now time.Time) []paceCommand {
	var list []paceCommand
	for i, share := range p.table.Shares(p.serving, p.fullLoads) {
		if p.isHalted {
			share = 0
		}
		if c, ok := p.changePace(p.bestEffort[i], int(share*fullPace), now); ok {
			c.tail = p.worstTail
			list = append(list, c)
		}
	}
	return list
}

// updateHalt halts all best-effort tasks while a serving task stays over its target, whatever the model predicts. If a
// serving task stays over its target during a halt, its own load is the cause, and the halt ends.
func (p *pacer) updateHalt(worstTail int, now time.Time) {
	isOver := worstTail >= fullPace
	if !isOver {
		p.overSince = time.Time{}
		if p.isHalted && now.Sub(p.haltedAt) > minHalt {
			p.isHalted = false
		}
		return
	}
	if p.overSince.IsZero() {
		p.overSince = now
	}
	switch {
	case p.isHalted && now.Sub(p.haltedAt) > maxHalt:
		p.isHalted, p.noHaltUntil = false, now.Add(haltPause)
	case !p.isHalted && now.Sub(p.overSince) > haltAfter && now.After(p.noHaltUntil):
		p.isHalted, p.haltedAt = true, now
	}
}

// servingLoads returns the loads of the active serving tasks, and the worst tail latency in percent of its target.
func (p *pacer) servingLoads(running []wire.RunState, loads []impact.Load) ([]impact.Serving, int) {
	var list []impact.Serving
	worstTail := 0
	for i := range running {
		r := &running[i]
		t := p.runs[r.Run]
		if t == nil || t.Target == 0 || r.Percent < servingPercent || r.Measurement <= 0 {
			continue
		}
		tail := float64(r.Measurement) / float64(t.Target)
		worstTail = max(worstTail, int(tail*fullPace))
		own := max(0, p.table.ServingLoad(t.Image, tail)-p.table.Interference(t.Image, loads))
		if !t.hasOwnLoad {
			t.ownLoad, t.hasOwnLoad = own, true
		}
		t.ownLoad += ownLoadWeight * (own - t.ownLoad)
		list = append(list, impact.Serving{Image: t.Image, Own: max(t.ownLoad, own)})
	}
	return list, worstTail
}

// changePace returns the command that sets the pace of a run, or false if the change is too small or too early.
func (p *pacer) changePace(t *trackedRun, percent int, now time.Time) (paceCommand, bool) {
	if percent < minPace {
		percent = 0
	}
	if percent > fullPace-minPaceChange {
		percent = fullPace
	}
	isSmall := percent-t.percent < minPaceChange && t.percent-percent < minPaceChange
	isEdge := (percent == 0 || percent == fullPace) && percent != t.percent
	isUncertain := now.Before(t.uncertainUntil) && now.Sub(t.changedAt) >= repeatInterval
	if isUncertain && isSmall && t.percent >= 0 {
		percent = t.percent
	}
	if isSmall && !isEdge && !isUncertain || percent > t.percent && now.Sub(t.changedAt) < settleTime {
		return paceCommand{}, false
	}
	t.percent, t.changedAt = percent, now
	return paceCommand{run: t.Run, percent: percent}, true
}

// dropMissing drops the state of runs that are no longer listed.
func (p *pacer) dropMissing(seen map[wire.Run]bool) {
	for run, t := range p.runs {
		if seen[run] {
			t.missedPolls = 0
			continue
		}
		if t.missedPolls++; t.missedPolls > dropAfterPolls {
			delete(p.runs, run)
		}
	}
}
