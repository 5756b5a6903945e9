package sizes

// Resources is an amount of each kind of resource that a worker has or a task needs.
type Resources struct {
	Processors   int64 // thousandths of a processor
	Memory       int64 // bytes
	Accelerators int64 // whole accelerators
	Slots        int64 // requests in progress
	Connections  int64 // open connections, including streams that hold no slot
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		Processors:   r.Processors + o.Processors,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Minus returns r without o; kinds of which o has more become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		Processors:   r.Processors - o.Processors,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
	}
}

// Max returns the larger amount of each kind.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		Processors:   max(r.Processors, o.Processors),
		Memory:       max(r.Memory, o.Memory),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
	}
}

// Fits reports whether r is at most o in every kind.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators &&
		r.Slots <= o.Slots && r.Connections <= o.Connections
}

// IsNegative reports whether any kind is below zero.
func (r Resources) IsNegative() bool {
	return r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0 || r.Slots < 0 || r.Connections < 0
}
