package main_test

import (
	"strings"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/rows"
	adapter "trefoilramp.org/trefoilramp/platform"
)

// Guards against processes that do not apply the bound of their settings: a job starts in an evacuated zone, or not at all once
// the evacuation is withdrawn.
func TestCellEvacuation(t *testing.T) {
	c := newCell(t.Context(), t, 1, 1)
	w := c.workers[0]
	change := rows.Change{Puts: []rows.Row{{Ref: adapter.EvacuationRef(w.State().Zone), Value: []byte("{}")}}}
	if _, err := c.rows.Operator().Change(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	if accepted, _ := c.caller(1).submit(t.Context(), cellJob(1, 1, 1), 100); !accepted {
		t.Fatal("the job is not accepted")
	}
	time.Sleep(cellLease)
	if n, log := len(w.Records()), c.entries[0].logTail(); n > 0 || !strings.Contains(log, `"Event":950`) {
		t.Errorf("%d runs in an evacuated zone; log of the entry: %s", n, log)
	}
	change = rows.Change{Deletes: []rows.Ref{change.Puts[0].Ref}}
	if _, err := c.rows.Operator().Change(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(cellRecoverTimeout); len(w.Records()) == 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no run after the evacuation: " + c.entries[0].logTail())
		}
	}
}
