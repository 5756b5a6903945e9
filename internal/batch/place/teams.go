package place

import (
	"sync"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
)

// Part returns the part of a team's quota that an entry enforces if it owns the given number of all partitions. The
// parts of all entries add up to at most the quota without coordination between entries, except that a part is at least
// 1 of each kind, since 0 means no quota.
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

// Teams counts the resources that the tasks of each team occupy in all partitions of an entry, which share the entry's
// part of a quota. It is safe for concurrent use.
type Teams struct {
	mu   sync.Mutex
	used map[ident.Team]sizes.Resources
}

// NewTeams returns a Teams without tasks.
func NewTeams() *Teams { return &Teams{used: make(map[ident.Team]sizes.Resources)} }

// reserve counts size if the team stays within its quota, and reports whether it did.
func (t *Teams) reserve(team ident.Team, quota, size sizes.Resources) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := t.used[team].Plus(size)
	fits := func(v, quota int64) bool { return quota == 0 || v <= quota }
	if !fits(total.Processors, quota.Processors) || !fits(total.Memory, quota.Memory) ||
		!fits(total.Accelerators, quota.Accelerators) {
		return false
	}
	t.used[team] = total
	return true
}

// add counts size regardless of the quota.
func (t *Teams) add(team ident.Team, size sizes.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used[team] = t.used[team].Plus(size)
}

// release subtracts a size counted by reserve or add.
func (t *Teams) release(team ident.Team, size sizes.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.used[team].Minus(size)
	if left == (sizes.Resources{}) {
		delete(t.used, team)
		return
	}
	t.used[team] = left
}
