package lead

import (
	"context"
)

// Machines is the platform's interface to the machines of workers.
type Machines interface {
	// Waves returns the waves of upkeep that the operator asks for.
	Waves(ctx context.Context) ([]Wave, error)
}

// Wave asks that machines have their upkeep, at most Cap at once.
type Wave struct {
	Number   int
	Machines []string
	Cap      int
}

// upkeep is the state of waves.
type upkeep struct {
	leaving map[*worker]bool
}

type upkeepEvent struct{}

func (u *upkeep) isLeaving(w *worker) bool { return u.leaving[w] }

func (t *Term) watchWaves(context.Context) {}

func (t *Term) takeUpkeep(context.Context, upkeepEvent) {}
