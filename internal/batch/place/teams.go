package place

import (
	"sync"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Part returns the part of a team's quota that an entry enforces which owns some of all partitions. The parts of all
// entries together never exceed the quota, without a message between them. A part is at least 1 of each kind, since 0
// means no quota.
func Part(quota sizes.Resources, owned, all int64) sizes.Resources {
	part := func(v int64) int64 {
		if v == 0 {
			return 0
		}
		return max(1, v*owned/max(1, all))
	}
	return sizes.Resources{
		Processors: part(quota.Processors), Memory: part(quota.Memory), Accelerators: part(quota.Accelerators),
	}
}

// Teams counts what the tasks of each team hold in all partitions of an entry, so that these share the entry's part of a
// quota; it is safe for concurrent use.
type Teams struct {
	mu   sync.Mutex
	used map[ident.Team]sizes.Resources
}

// NewTeams returns a count without tasks.
func NewTeams() *Teams { return &Teams{used: make(map[ident.Team]sizes.Resources)} }

// take counts size if the team stays within quota.
func (t *Teams) take(team ident.Team, quota, size sizes.Resources) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.used[team].Plus(size)
	ok := func(v, quota int64) bool { return quota == 0 || v <= quota }
	if !ok(sum.Processors, quota.Processors) || !ok(sum.Memory, quota.Memory) ||
		!ok(sum.Accelerators, quota.Accelerators) {
		return false
	}
	t.used[team] = sum
	return true
}

// add counts size whatever the quota is.
func (t *Teams) add(team ident.Team, size sizes.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used[team] = t.used[team].Plus(size)
}

// give undoes take or add.
func (t *Teams) give(team ident.Team, size sizes.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.used[team].Minus(size)
	if left == (sizes.Resources{}) {
		delete(t.used, team)
		return
	}
	t.used[team] = left
}
