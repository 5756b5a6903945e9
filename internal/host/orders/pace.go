package orders

import (
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/press"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	fullPace    = 100
	paceFloor   = 8                      // percent; a lower pace becomes 0
	paceChange  = 12                     // percent; a smaller change is not ordered
	settleTime  = 350 * time.Millisecond // after a change until the figures show it
	baseSmooth  = 0.5                    // weight of the newest figure in the tail without tasks that fill
	forgetLooks = 8                      // looks without a run after which its trait is dropped
	atWork      = 100                    // percent of a serving task that is at work
)

// paced is a change of the pace of a run.
type paced struct {
	run     wire.Run
	percent int
	tail    int // slowest serving task in percent of its target
}

type trait struct {
	wire.RunTrait
	missing   int // looks in a row that did not show the run
	percent   int // pace that was ordered
	changedAt time.Time
	base      float64 // of a serving task: tail without tasks that fill, as a share of its target
}

// pacer decides how much the tasks that fill a worker may work beside its serving tasks.
type pacer struct {
	traits map[wire.Run]*trait
	table  *press.Table
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
		p.table.Set(press.Pair{Fill: w.Fill, Serving: w.Serving}, w.Weight)
	}
}

// isMixed reports whether serving tasks and tasks that fill share the worker.
func (p *pacer) isMixed() bool {
	var serving, fills bool
	for _, t := range p.traits {
		serving = serving || t.Target > 0
		fills = fills || t.Fills
	}
	return serving && fills
}

// failed notes that a pace was not confirmed, so that it is ordered again.
func (p *pacer) failed(r wire.Run) {
	if t := p.traits[r]; t != nil {
		t.percent = -1
	}
}

// observe takes the figures of a look and returns the paces to change.
func (p *pacer) observe(running []wire.RunState, now time.Time) []paced {
	seen := make(map[wire.Run]bool, len(p.traits))
	var loads []press.Load
	var fills []*trait
	var images []string
	for i := range running {
		r := &running[i]
		t := p.traits[r.Run]
		if t == nil {
			continue
		}
		seen[r.Run] = true
		if t.Fills && t.Size > 0 {
			loads = append(loads, press.Load{Image: t.Image, Share: min(1, float64(r.Figure)/float64(t.Size))})
			fills = append(fills, t)
			images = append(images, t.Image)
		}
	}
	p.forget(seen)
	serving, worst := p.serving(running, loads)
	if len(fills) == 0 {
		return nil
	}
	var list []paced
	for i, share := range p.table.Shares(serving, images) {
		if c, ok := p.change(fills[i], int(share*fullPace), now); ok {
			c.tail = worst
			list = append(list, c)
		}
	}
	return list
}

// serving returns the serving tasks at work with their tails without tasks that fill, and the worst tail in percent.
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
		base := tail / p.table.Factor(t.Image, loads)
		if t.base == 0 {
			t.base = base
		}
		t.base += baseSmooth * (base - t.base)
		list = append(list, press.Serving{Image: t.Image, Base: max(t.base, base)})
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
	if isSmall && !isEdge || percent > t.percent && now.Sub(t.changedAt) < settleTime {
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
