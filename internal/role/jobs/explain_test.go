package jobs_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/jobs/lead"
	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/role/jobs"
	"trefoilramp.org/trefoilramp/internal/stand/memory"
)

// Guards against an explanation that only the leading entry gives, or that lacks the decision of the entry's own admission
// control, and against a job that closes the session to the leader because it exceeds a message.
func TestEntriesExplain(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s := memory.New()
	putConfig(t, s, 3)
	first, _ := startEntry(ctx, t, s, "entry-1", &wg)
	j := &spec.Job{ID: "0000000000000000", Service: "packing", Steps: []spec.Step{{Count: 1, Estimate: 1000}}}
	explain := func(e *jobs.Entry) (x lead.Explanation) {
		await(t, "explanation", func() bool {
			b, err := e.Explain(ctx, j)
			return err == nil && json.Unmarshal(b, &x) == nil
		})
		return x
	}
	if x := explain(first); x.Leader != "entry-1" || x.Entry != "entry-1" || x.Admission != nil || len(x.Steps) != 1 {
		t.Errorf("explanation of the leader: %+v", x)
	}
	second, _ := startEntry(ctx, t, s, "admitting-2", &wg)
	if x := explain(second); x.Leader != "entry-1" || x.Entry != "admitting-2" || x.Admission == nil || !x.Admission.Admit {
		t.Errorf("explanation of another entry: %+v", x)
	}
	j.Service = strings.Repeat("x", frame.MaxPayload)
	if _, err := second.Explain(ctx, j); !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("error %v; want frame.ErrTooLarge", err)
	}
}
