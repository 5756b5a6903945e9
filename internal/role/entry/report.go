package entry

import (
	"cmp"
	"slices"

	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// addStatus adds the workers that have a session with this entry, and the services of their targets, to a status.
func (d *directory) addStatus(st *admin.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make(map[string]*admin.ServiceStatus)
	for _, a := range d.agents {
		st.Workers = append(st.Workers, admin.WorkerStatus{
			Name: a.hello.Name, Zone: string(a.hello.Zone), Rack: a.hello.Rack, Capacity: a.hello.Capacity, Free: a.free,
			InForce: a.version, Draining: a.leaving,
		})
		for _, t := range a.targets {
			s, ok := services[t.info.Service]
			if !ok {
				s = &admin.ServiceStatus{Name: t.info.Service}
				services[t.info.Service] = s
			}
			s.InFlight += t.hint.InFlight
			s.Targets = append(s.Targets, admin.TargetStatus{
				Name: t.info.Target, Worker: a.hello.Name, State: stateName(t.info.State), InFlight: t.hint.InFlight,
				Slots: t.info.Slots,
			})
		}
	}
	for _, s := range services {
		slices.SortFunc(s.Targets, func(a, b admin.TargetStatus) int { return cmp.Compare(a.Name, b.Name) })
		st.Services = append(st.Services, *s)
	}
	slices.SortFunc(st.Workers, func(a, b admin.WorkerStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Services, func(a, b admin.ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
}

func stateName(s wire.TargetState) string {
	switch s {
	case wire.TargetReady:
		return "Ready"
	case wire.TargetLeaving:
		return "Leaving"
	default:
		return "Silent"
	}
}

// readyTargets returns the number of targets of each service that accept new work.
func (d *directory) readyTargets() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := make(map[string]int)
	for _, a := range d.agents {
		for _, t := range a.targets {
			if t.info.State == wire.TargetReady && !a.leaving {
				n[t.info.Service]++
			}
		}
	}
	return n
}
