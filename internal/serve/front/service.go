package front

import (
	"time"
)

// Defaults of a service whose configuration leaves a field zero.
const (
	defaultDeadline = 10 * time.Second
	defaultMaximum  = 5 * time.Minute
	defaultBody     = 1 << 20
)

// Service is what the configuration says of a service.
type Service struct {
	Name            string
	DefaultDeadline time.Duration // of requests that name none; 0 means 10 s
	MaxDeadline     time.Duration // later deadlines are lowered to this; 0 means 5 min
	MaxBody         int64         // bytes of a request's body; 0 means 1 MiB
	LongAfter       time.Duration // mean run time above which a kind of request is long; 0 compares with the median
	ShortShare      float64       // share of slots kept free of long requests; 0 means 0.25
	ShortPerSlot    int           // bound of the queue for short requests, for each slot; 0 means 4
	LongPerSlot     int           // bound of the queue for long requests, for each slot; 0 means 1
}

func (s Service) withDefaults() Service {
	if s.DefaultDeadline == 0 {
		s.DefaultDeadline = defaultDeadline
	}
	if s.MaxDeadline == 0 {
		s.MaxDeadline = defaultMaximum
	}
	if s.MaxBody == 0 {
		s.MaxBody = defaultBody
	}
	return s
}

// Services looks up the configuration in force.
type Services interface {
	// Service returns the configuration of a service; false for an unknown one.
	Service(name string) (Service, bool)
}
