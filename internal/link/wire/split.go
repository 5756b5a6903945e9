package wire

const (
	maxPart      = 48 << 10 // bytes of the items of one message, which must fit into a frame of 64 KiB
	itemOverhead = 64       // bytes of an encoded item without its texts, at most
)

// splitter divides the items of a message among parts of at most maxPart bytes.
type splitter[T any] struct {
	parts []*T
	size  int // of the last part
}

// part returns the part that takes the next item, whose texts have n bytes.
func (s *splitter[T]) part(n int) *T {
	n += itemOverhead
	if len(s.parts) == 0 || s.size+n > maxPart {
		s.parts, s.size = append(s.parts, new(T)), 0
	}
	s.size += n
	return s.parts[len(s.parts)-1]
}

// SplitOrders returns m as messages that fit into a frame each. All but the last have the number of the previous message,
// because a report with the number of m must be later than all of its commands.
func SplitOrders(m *TaskOrders) []*TaskOrders {
	var s splitter[TaskOrders]
	for _, w := range m.Interference {
		p := s.part(len(w.Serving) + len(w.BestEffort))
		p.Interference = append(p.Interference, w)
	}
	for _, r := range m.Profiles {
		p := s.part(len(r.Task) + len(r.Image))
		p.Profiles = append(p.Profiles, r)
	}
	for _, r := range m.Stops {
		p := s.part(len(r.Task))
		p.Stops = append(p.Stops, r)
	}
	for _, r := range m.Cancels {
		p := s.part(len(r.Task))
		p.Cancels = append(p.Cancels, r)
	}
	for _, c := range m.Starts {
		p := s.part(len(c.Task) + len(c.Image) + len(c.Payload) + len(c.Checkpoint) + len(c.Ticket))
		p.Starts = append(p.Starts, c)
	}
	last := s.part(0)
	for _, p := range s.parts {
		p.Incarnation, p.Number, p.StartBefore = m.Incarnation, m.Number-1, m.StartBefore
	}
	last.Number, last.DurableEnds = m.Number, m.DurableEnds
	return s.parts
}

// SplitReport returns m as messages that fit into a frame each. It leaves as many items in the report as fit and moves
// the others to parts that are sent before it.
func SplitReport(m *RunReport) ([]*ReportPart, *RunReport) {
	var s splitter[ReportPart]
	for _, w := range m.Interference {
		p := s.part(len(w.Serving) + len(w.BestEffort))
		p.Interference = append(p.Interference, w)
	}
	for _, r := range m.Running {
		p := s.part(len(r.Task) + len(r.Checkpoint))
		p.Running = append(p.Running, r)
	}
	for _, r := range m.Pending {
		p := s.part(len(r.Task))
		p.Pending = append(p.Pending, r)
	}
	for _, e := range m.Ended {
		p := s.part(len(e.Task) + len(e.Checkpoint))
		p.Ended = append(p.Ended, e)
	}
	for _, r := range m.Refused {
		p := s.part(len(r.Task))
		p.Refused = append(p.Refused, r)
	}
	last := *s.part(0)
	report := *m
	report.Interference, report.Running, report.Pending = last.Interference, last.Running, last.Pending
	report.Ended, report.Refused = last.Ended, last.Refused
	return s.parts[:len(s.parts)-1], &report
}

// Join returns m with the items of the parts that were sent before it.
func (m *RunReport) Join(parts []*ReportPart) *RunReport {
	if len(parts) == 0 {
		return m
	}
	var all ReportPart
	for _, p := range append(parts, &ReportPart{m.Running, m.Pending, m.Ended, m.Refused, m.Interference}) {
		all.Running = append(all.Running, p.Running...)
		all.Pending = append(all.Pending, p.Pending...)
		all.Ended = append(all.Ended, p.Ended...)
		all.Refused = append(all.Refused, p.Refused...)
		all.Interference = append(all.Interference, p.Interference...)
	}
	joined := *m
	joined.Running, joined.Pending, joined.Ended = all.Running, all.Pending, all.Ended
	joined.Refused, joined.Interference = all.Refused, all.Interference
	return &joined
}
