package evac

import (
	"maps"
	"slices"
	"time"
)

// startTransit is the part of the bound that is reserved for a start on its way to the worker, about the time that an agent
// needs for the three attempts of a start.
const startTransit = time.Second

// State is the set of evacuated zones as of the last read. The zero time of that read allows no start.
type State struct {
	bound  time.Duration
	zones  map[string]struct{}
	readAt time.Time // start of the read
}

// New returns a State without a read. Nothing may reach a worker of a zone from bound after its evacuation.
func New(bound time.Duration) *State {
	return &State{bound: bound, zones: make(map[string]struct{})}
}

// Apply replaces the set of evacuated zones by that of a read which began at readAt, and returns the differences in
// alphabetical order. It ignores a read that began before the last one.
func (s *State) Apply(zones []string, readAt time.Time) (added, removed []string) {
	if readAt.Before(s.readAt) {
		return nil, nil
	}
	s.readAt = readAt
	current := make(map[string]struct{}, len(zones))
	for _, z := range zones {
		current[z] = struct{}{}
	}
	added, removed = missing(current, s.zones), missing(s.zones, current)
	s.zones = current
	return added, removed
}

// missing returns the keys of a that are not in b, in alphabetical order.
func missing(a, b map[string]struct{}) []string {
	var list []string
	for z := range a {
		if _, ok := b[z]; !ok {
			list = append(list, z)
		}
	}
	slices.Sort(list)
	return list
}

// Allows reports whether a run may be started in a zone: the zone is not evacuated, and an evacuation that the last read
// does not show is so recent that the start reaches the worker within the bound.
func (s *State) Allows(zone string, now time.Time) bool {
	_, isEvacuated := s.zones[zone]
	return !isEvacuated && s.IsCurrent(now)
}

// IsCurrent reports whether the last read is recent enough for starts.
func (s *State) IsCurrent(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) < s.bound-startTransit
}

// StartBefore returns the time from which a start that Allows has permitted must not reach a worker: an evacuation that
// the last read does not show was acknowledged after the start of that read.
func (s *State) StartBefore() time.Time { return s.readAt.Add(s.bound) }

// ReadAt returns the start of the last read, and the zero time before the first one.
func (s *State) ReadAt() time.Time { return s.readAt }

// Zones returns the evacuated zones in alphabetical order.
func (s *State) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }
