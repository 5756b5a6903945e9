package worker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/plat/worker"
)

// command is the parsed command of a task; the package comment describes its words.
type command struct {
	run          time.Duration
	factor       float64 // of stragglers
	every        uint32  // tasks whose index is a multiple of this are stragglers
	fails        bool
	failAt       time.Duration // 0 for the end of the run time
	failAttempts ident.Attempt // highest attempt that fails; 0 for all
	failOn       []string      // workers on which attempts fail; empty for all
	memory       int64         // bytes; -1 for the declared amount
	processors   int64         // thousandths; -1 for the declared amount
}

// parseCommand parses the command of a task; the error names the malformed word.
func parseCommand(s string) (command, error) {
	c := command{factor: 1, every: 1, memory: -1, processors: -1}
	for _, word := range strings.Fields(s) {
		name, value, _ := strings.Cut(word, "=")
		if err := c.set(name, value); err != nil {
			return c, fmt.Errorf("word %q of the command: %w", word, err)
		}
	}
	if c.run <= 0 {
		return c, errors.New("the command has no run time")
	}
	return c, nil
}

func (c *command) set(name, value string) (err error) {
	switch name {
	case "run":
		c.run, err = time.ParseDuration(value)
	case "straggler":
		err = c.setStraggler(value)
	case "fail":
		c.fails = true
		if value != "" {
			c.failAt, err = time.ParseDuration(value)
		}
	case "fail-attempts":
		var n uint64
		n, err = strconv.ParseUint(value, 10, 32)
		c.failAttempts = ident.Attempt(n)
	case "fail-on":
		c.failOn = strings.Split(value, ",")
	case "memory":
		c.memory, err = parseBytes(value)
	case "processors":
		c.processors, err = strconv.ParseInt(value, 10, 64)
	default:
		err = errors.New("unknown word")
	}
	return err
}

func (c *command) setStraggler(value string) error {
	factor, every, ok := strings.Cut(value, "/")
	if ok {
		n, err := strconv.ParseUint(every, 10, 32)
		if err != nil || n == 0 {
			return errors.New("EVERY is not a positive integer")
		}
		c.every = uint32(n)
	}
	f, err := strconv.ParseFloat(factor, 64)
	if err != nil || f <= 0 {
		return errors.New("FACTOR is not a positive number")
	}
	c.factor = f
	return nil
}

// parseBytes parses a number of bytes with an optional suffix Ki, Mi or Gi.
func parseBytes(s string) (int64, error) {
	shift := 0
	for i, suffix := range []string{"Ki", "Mi", "Gi"} {
		if digits, ok := strings.CutSuffix(s, suffix); ok {
			s, shift = digits, 10*(i+1)
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.New("not a number of bytes")
	}
	return n << shift, nil
}

// work returns the run time of an attempt at full speed and whether the attempt fails at its end.
func (c *command) work(r worker.Ref, on ident.Worker) (time.Duration, bool) {
	total := c.run
	if r.Task.Index%c.every == 0 {
		total = time.Duration(float64(total) * c.factor)
	}
	if !c.isFailing(r, on) {
		return total, false
	}
	if c.failAt > 0 {
		total = min(total, c.failAt)
	}
	return total, true
}

// isFailing reports whether an attempt on a worker is to fail.
func (c *command) isFailing(r worker.Ref, on ident.Worker) bool {
	if len(c.failOn) > 0 && !slices.Contains(c.failOn, string(on)) {
		return false
	}
	if c.failAttempts > 0 && r.Attempt > c.failAttempts {
		return false
	}
	return c.fails || c.failAttempts > 0 || len(c.failOn) > 0
}

// usage returns the resources that a task with the declared size uses while it runs unthrottled.
func (c *command) usage(size sizes.Resources) sizes.Resources {
	if c.memory >= 0 {
		size.Memory = c.memory
	}
	if c.processors >= 0 {
		size.Processors = c.processors
	}
	return size
}
