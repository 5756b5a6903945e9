package front

import (
	"time"
)

// Defaults for fields of a Service that are zero.
const (
	defaultDeadline    = 10 * time.Second
	defaultMaxDeadline = 5 * time.Minute
	defaultMaxBody     = 1 << 20 // bytes
)

// Service holds the configuration of a service.
type Service struct {
	Name            string
	DefaultDeadline time.Duration // for requests without a deadline; 0 means 10 s
	MaxDeadline     time.Duration // cap on the time until a deadline; 0 means 5 min
	MaxBody         int64         // bytes of a request body; 0 means 1 MiB
	LongAfter       time.Duration // mean run time above which a kind of request is long; 0 compares it with the median
	ShortShare      float64       // share of slots that long requests must not occupy; 0 means 0.25
	ShortPerSlot    int           // maximum number of queued short requests per slot; 0 means 4
	LongPerSlot     int           // maximum number of queued long requests per slot; 0 means 1
}

func (s Service) withDefaults() Service {
	if s.DefaultDeadline == 0 {
		s.DefaultDeadline = defaultDeadline
	}
	if s.MaxDeadline == 0 {
		s.MaxDeadline = defaultMaxDeadline
	}
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	return s
}

// Services looks up the current configuration of services.
type Services interface {
	// Service returns the configuration of a service, or false if the service is unknown.
	Service(name string) (Service, bool)
}
