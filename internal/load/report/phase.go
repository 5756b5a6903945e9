package report

import (
	"fmt"
	"time"

	"trefoilramp.org/trefoilramp/internal/load/drive"
)

// span is the name and the time range of a phase.
type span struct {
	name     string
	from, to time.Duration
}

// phases returns the spans of all swings, followed by the time before each swing, its peak and the time after the last.
func phases(swings []drive.Swing, length time.Duration) []span {
	var whole, parts []span
	var end time.Duration
	for i, w := range swings {
		from := min(w.At.Std(), length)
		top := min(length, from+w.Over.Std())
		fall := min(length, top+w.For.Std())
		to := min(length, fall+w.Over.Std())
		name := fmt.Sprintf("swing %d, %gx", i+1, w.Factor)
		whole = append(whole, span{name, from, to})
		parts = append(parts, span{"before " + name, end, max(end, from)}, span{"peak of " + name, top, fall})
		end = max(end, to)
	}
	if len(parts) > 0 {
		parts = append(parts, span{"after the swings", end, length})
	}
	return append(whole, parts...)
}
