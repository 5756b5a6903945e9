package lead

import "trefoilramp.org/trefoilramp/internal/link/wire"

const (
	maxOrders    = 48 << 10 // bytes of one TaskOrders, which must fit into a frame of 64 KiB
	runOverhead  = 64       // bytes of an encoded Run without its texts, at most
	profileBytes = 96       // likewise of a RunProfile, a StartCommand or an InterferenceWeight
)

// ordersPart is a TaskOrders that takes commands until its size is maxOrders.
type ordersPart struct {
	*wire.TaskOrders
	size int
}

// splitOrders returns m as messages that fit into a frame each. All but the last have the number of the previous message,
// because a report with the number of m must be later than all of its commands.
func splitOrders(m *wire.TaskOrders) []*wire.TaskOrders {
	var list []*wire.TaskOrders
	part := ordersPart{&wire.TaskOrders{Interference: m.Interference}, len(m.Interference) * profileBytes}
	reserve := func(size int) {
		if part.size+size > maxOrders {
			part.Incarnation, part.Number = m.Incarnation, m.Number-1
			list = append(list, part.TaskOrders)
			part = ordersPart{TaskOrders: &wire.TaskOrders{}}
		}
		part.size += size
	}
	for _, p := range m.Profiles {
		reserve(profileSize(p))
		part.Profiles = append(part.Profiles, p)
	}
	for _, r := range m.Stops {
		reserve(runOverhead + len(r.Task))
		part.Stops = append(part.Stops, r)
	}
	for _, r := range m.Cancels {
		reserve(runOverhead + len(r.Task))
		part.Cancels = append(part.Cancels, r)
	}
	for _, s := range m.Starts {
		reserve(profileSize(s.RunProfile) + len(s.Payload) + len(s.Checkpoint) + len(s.Ticket))
		part.Starts = append(part.Starts, s)
	}
	part.Incarnation, part.Number, part.DurableEnds = m.Incarnation, m.Number, m.DurableEnds
	return append(list, part.TaskOrders)
}

func profileSize(p wire.RunProfile) int { return profileBytes + len(p.Task) + len(p.Image) }
