package main_test

import (
	"strings"
	"testing"
	"time"

	adapter "trefoilramp.org/trefoilramp/platform"
)

// Guards against an entry whose administration listener does not serve the command.
func TestCellExplain(t *testing.T) {
	c := newCell(t.Context(), t, 1, 1)
	b, err := adapter.EncodeJob(cellJob(1, 1, 1))
	if err != nil {
		t.Fatal(err)
	}
	p := program{path: c.binary, dir: c.dir}
	p.write(t, "job.json", string(b))
	args := "cell explain --address " + c.entries[0].settings["Process"].(object)["Administration"].(string)
	for end := time.Now().Add(cellRecoverTimeout); ; time.Sleep(100 * time.Millisecond) {
		code, stdout, stderr := p.run(t.Context(), args+" --queue plans job.json")
		if code == 0 && strings.Contains(stdout, "1 suitable workers") && strings.Contains(stdout, "w1 in ") {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("exit code %d, %s %s", code, stdout, stderr)
		}
	}
	if code, _, stderr := p.run(t.Context(), args+" --queue other job.json"); code != 2 || !strings.Contains(stderr, `queue "other"`) {
		t.Errorf("unknown queue: exit code %d, %s; want 2 and its name", code, stderr)
	}
}
