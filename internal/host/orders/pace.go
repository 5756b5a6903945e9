package orders

import (
	"fmt"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

const (
	fullPace    = 100
	paceFactor  = 3                       // a pace is divided by this while a serving task is too slow
	paceFloor   = 12                      // percent; a lower pace becomes 0
	paceStep    = 20                      // percent by which a pace rises again
	raiseAfter  = 1200 * time.Millisecond // without a slow serving task before a pace rises
	overShare   = 0.9                     // of its target at which a serving task counts as slow
	calmShare   = 0.65                    // of its target below which the tasks that fill may work more
	settleTime  = 450 * time.Millisecond  // after a change until the figures show it
	forgetLooks = 8                       // looks without a run after which its trait is dropped
)

// paced is a change of the pace of a run.
type paced struct {
	run     wire.Run
	percent int
	tail    int // slowest serving task in percent of its target
}

type trait struct {
	wire.RunTrait
	missing int // looks in a row that did not show the run
	percent int // pace that was ordered
}

// pacer decides how much the tasks that fill a worker may work beside its serving tasks.
type pacer struct {
	traits    map[wire.Run]*trait
	percent   int // pace of all tasks that fill
	changedAt time.Time
	slowAt    time.Time
}

func newPacer() pacer { return pacer{traits: make(map[wire.Run]*trait), percent: fullPace} }

// add notes what kind a run is.
func (p *pacer) add(t wire.RunTrait) {
	if t.Target > 0 || t.Fills {
		p.traits[t.Run] = &trait{RunTrait: t, percent: fullPace}
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
	fmt.Printf("PACE")
	for _, r := range running {
		if t := p.traits[r.Run]; t != nil {
			fmt.Printf(" %s,%d,%v,%s,%d,%d,%d", r.Task, t.Target, t.Fills, t.Image, t.percent, r.Percent, r.Figure)
		}
	}
	fmt.Println()
	seen := make(map[wire.Run]bool, len(p.traits))
	worst := 0
	for _, r := range running {
		t := p.traits[r.Run]
		if t == nil {
			continue
		}
		seen[r.Run] = true
		if t.Target > 0 {
			worst = max(worst, r.Figure*100/int(t.Target))
		}
	}
	for run, t := range p.traits {
		if seen[run] {
			t.missing = 0
			continue
		}
		if t.missing++; t.missing > forgetLooks {
			delete(p.traits, run)
		}
	}
	p.adjust(worst, now)
	var list []paced
	for run, t := range p.traits {
		if t.Fills && seen[run] && t.percent != p.percent {
			t.percent = p.percent
			list = append(list, paced{run: run, percent: p.percent, tail: worst})
		}
	}
	return list
}

func (p *pacer) adjust(worst int, now time.Time) {
	if worst >= overShare*100 {
		p.slowAt = now
	}
	if now.Sub(p.changedAt) < settleTime {
		return
	}
	switch {
	case worst >= overShare*100 && p.percent > 0:
		p.percent /= paceFactor
		if p.percent < paceFloor {
			p.percent = 0
		}
	case worst < calmShare*100 && p.percent < fullPace && now.Sub(p.slowAt) >= raiseAfter:
		p.percent = min(fullPace, p.percent+paceStep)
	default:
		return
	}
	p.changedAt = now
}
