package sizes

import "math"

// Largest amounts of resources that a task may request or a worker may have.
const (
	MaxProcessors   = 1 << 40 // millicores
	MaxMemory       = 1 << 50 // bytes
	MaxAccelerators = 1 << 20
)

const mebibyte = 1 << 20 // bytes

// FromMebibytes returns n MiB in bytes, or an amount beyond MaxMemory if the product would overflow.
func FromMebibytes(n int64) int64 {
	const limit = math.MaxInt64 / mebibyte
	return max(-limit, min(n, limit)) * mebibyte
}

// Resources is an amount of each kind of resource, such as the capacity of a worker or the request of a task.
type Resources struct {
	Processors   int64 // millicores
	Memory       int64 // bytes
	Accelerators int64 // number of whole accelerators
	Slots        int64 // number of concurrent requests
	Connections  int64 // number of open connections, including streams that occupy no slot
}

// Plus returns the sum of r and o for each kind of resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		Processors:   r.Processors + o.Processors,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Minus returns the difference of r and o for each kind of resource, which is negative where o is larger.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		Processors:   r.Processors - o.Processors,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
	}
}

// Max returns the larger amount of r and o for each kind of resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		Processors:   max(r.Processors, o.Processors),
		Memory:       max(r.Memory, o.Memory),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
		Connections:  max(r.Connections, o.Connections),
	}
}

// Fits reports whether r fits in o, that is, no kind of resource exceeds its amount in o.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators &&
		r.Slots <= o.Slots && r.Connections <= o.Connections
}

// IsNegative reports whether the amount of any kind of resource is negative.
func (r Resources) IsNegative() bool {
	return r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0 || r.Slots < 0 || r.Connections < 0
}

// IsValid reports whether the processors, memory and accelerators are neither negative nor beyond their largest amounts.
func (r Resources) IsValid() bool {
	return !r.IsNegative() && r.Processors <= MaxProcessors && r.Memory <= MaxMemory && r.Accelerators <= MaxAccelerators
}
