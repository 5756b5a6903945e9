package orders

import (
	"slices"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	fullPace    = 100
	paceFloor   = 8                      // percent; a lower pace becomes 0
	paceChange  = 12                     // percent; a smaller change is not ordered
	lateOrders  = 13 * time.Second       // after which an order without answer is no longer carried out
	repeatPace  = 900 * time.Millisecond // between the same pace until then
	settleTime  = 350 * time.Millisecond // after a change until the figures show it
	ownSmooth   = 0.5                    // weight of the newest figure in the load without tasks that fill
	haltAfter   = time.Second            // over the target, before all tasks that fill halt
	leastHalt   = 600 * time.Millisecond
	longestHalt = 5 * time.Second         // after which the tasks that fill are not the cause
	freeTime    = 1500 * time.Millisecond // until the next halt then
	forgetLooks = 8                       // looks without a run after which its trait is dropped
	atWork      = 100                     // percent of a serving task that is at work
)

// paced is a change of the pace of a run.
type paced struct {
	run     wire.Run
	percent int
	tail    int // slowest serving task in percent of its target
}

type trait struct {
	wire.RunTrait
	missing     int // looks in a row that did not show the run
	percent     int // pace that was ordered
	changedAt   time.Time
	unsureUntil time.Time // an earlier pace may still be carried out until then
	served      bool
	own         float64 // load of a serving task without tasks that fill
}

// pacer decides how much the tasks that fill a worker may work beside its serving tasks.
type pacer struct {
	traits    map[wire.Run]*trait
	table     *press.Table
	overSince time.Time // a serving task has been over its target since
	isHalted  bool      // no task that fills may work
	haltedAt  time.Time
	freeUntil time.Time // after a halt that did not help

	// As the last look showed them, with the runs that began since:
	own   []press.Serving
	worst int // slowest serving task in percent of its target
	fills []*trait
	full  []press.Load // of fills at full work
}

func newPacer() pacer {
	return pacer{traits: make(map[wire.Run]*trait), table: press.NewTable()}
}

// add notes what kind a run is.
func (p *pacer) add(t wire.RunTrait) {
	if (t.Target > 0 || t.Fills) && p.traits[t.Run] == nil {
		p.traits[t.Run] = &trait{RunTrait: t, percent: fullPace}
	}
}

// weigh takes what the leader has learned.
func (p *pacer) weigh(list []wire.PressWeight) {
	for _, w := range list {
		p.table.Set(press.Pair{Serving: w.Serving, Filling: w.Filling}, w.Weight)
	}
}

// known returns what a leader has told.
func (p *pacer) known() []wire.PressWeight {
	var list []wire.PressWeight
	for pair, w := range p.table.Known() {
		list = append(list, wire.PressWeight{Serving: pair.Serving, Filling: pair.Filling, Weight: w})
	}
	return list
}

// failed notes that a pace was not confirmed: it is ordered again, and for a while again and again, since the worker may
// carry out the one without an answer after newer ones.
func (p *pacer) failed(r wire.Run, now time.Time) {
	if t := p.traits[r]; t != nil {
		t.percent, t.unsureUntil = -1, now.Add(lateOrders)
	}
}

// observe takes the figures of a look and returns the paces to change.
func (p *pacer) observe(running []wire.RunState, capacity int64, now time.Time) []paced {
	seen := make(map[wire.Run]bool, len(p.traits))
	var loads, full []press.Load
	var fills []*trait
	processors := float64(max(1, capacity))
	for i := range running {
		r := &running[i]
		t := p.traits[r.Run]
		if t == nil {
			continue
		}
		seen[r.Run] = true
		if t.Fills && t.Size > 0 {
			loads = append(loads, press.Load{Image: t.Image, Use: float64(r.Figure) / processors})
			full = append(full, press.Load{Image: t.Image, Use: float64(t.Size) / processors})
			fills = append(fills, t)
		}
	}
	p.forget(seen)
	serving, worst := p.serving(running, loads)
	p.guard(worst, now)
	p.own, p.worst, p.fills, p.full = serving, worst, fills, full
	return p.plan(now)
}

// started returns the paces to change for a run that has just begun.
func (p *pacer) started(r wire.Run, capacity int64, now time.Time) []paced {
	t := p.traits[r]
	if t == nil || !t.Fills || len(p.own) == 0 || slices.Contains(p.fills, t) {
		return nil
	}
	p.fills = append(p.fills, t)
	p.full = append(p.full, press.Load{Image: t.Image, Use: float64(t.Size) / float64(max(1, capacity))})
	return p.plan(now)
}

// plan returns the paces to change for the tasks that fill, as the last look showed the serving tasks.
func (p *pacer) plan(now time.Time) []paced {
	var list []paced
	for i, share := range p.table.Shares(p.own, p.full) {
		if p.isHalted {
			share = 0
		}
		if c, ok := p.change(p.fills[i], int(share*fullPace), now); ok {
			c.tail = p.worst
			list = append(list, c)
		}
	}
	return list
}

// guard halts all tasks that fill while a serving task stays over its target whatever the model expects. A task that
// stays over it beside none that work is slow by its own load, and the halt ends.
func (p *pacer) guard(worst int, now time.Time) {
	isOver := worst >= fullPace
	if !isOver {
		p.overSince = time.Time{}
		if p.isHalted && now.Sub(p.haltedAt) > leastHalt {
			p.isHalted = false
		}
		return
	}
	if p.overSince.IsZero() {
		p.overSince = now
	}
	switch {
	case p.isHalted && now.Sub(p.haltedAt) > longestHalt:
		p.isHalted, p.freeUntil = false, now.Add(freeTime)
	case !p.isHalted && now.Sub(p.overSince) > haltAfter && now.After(p.freeUntil):
		p.isHalted, p.haltedAt = true, now
	}
}

// serving returns the serving tasks at work, and the worst tail in percent.
func (p *pacer) serving(running []wire.RunState, loads []press.Load) ([]press.Serving, int) {
	var list []press.Serving
	worst := 0
	for i := range running {
		r := &running[i]
		t := p.traits[r.Run]
		if t == nil || t.Target == 0 || r.Percent < atWork || r.Figure <= 0 {
			continue
		}
		tail := float64(r.Figure) / float64(t.Target)
		worst = max(worst, int(tail*fullPace))
		own := max(0, p.table.Busy(t.Image, tail)-p.table.Pressed(t.Image, loads))
		if !t.served {
			t.own, t.served = own, true
		}
		t.own += ownSmooth * (own - t.own)
		list = append(list, press.Serving{Image: t.Image, Own: max(t.own, own)})
	}
	return list, worst
}

// change returns the order that brings a run to a pace, if the difference is worth one.
func (p *pacer) change(t *trait, percent int, now time.Time) (paced, bool) {
	if percent < paceFloor {
		percent = 0
	}
	if percent > fullPace-paceChange {
		percent = fullPace
	}
	isSmall := percent-t.percent < paceChange && t.percent-percent < paceChange
	isEdge := (percent == 0 || percent == fullPace) && percent != t.percent
	isUnsure := now.Before(t.unsureUntil) && now.Sub(t.changedAt) >= repeatPace
	if isUnsure && isSmall && t.percent >= 0 {
		percent = t.percent
	}
	if isSmall && !isEdge && !isUnsure || percent > t.percent && now.Sub(t.changedAt) < settleTime {
		return paced{}, false
	}
	t.percent, t.changedAt = percent, now
	return paced{run: t.Run, percent: percent}, true
}

// forget drops the traits of runs that are no longer listed.
func (p *pacer) forget(seen map[wire.Run]bool) {
	for run, t := range p.traits {
		if seen[run] {
			t.missing = 0
			continue
		}
		if t.missing++; t.missing > forgetLooks {
			delete(p.traits, run)
		}
	}
}
