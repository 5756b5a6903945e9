package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
)

const cellProcess = `"Process": {"Name": "edge-1", "AvailabilityZone": "agadir", "Cell": "main", "Sessions": "10.0.0.1:7720",
	"Store": "10.0.0.9:8169", "Key": {"Value": "key-0123456789abcdef"}, "Lease": "10000ms", "Grace": "6s", "MemoryMiB": 284,
	"Descriptors": 4100, "Clients": {"Bytes": 1048576, "Connections": 100, "PerAddress": 90, "StallTimeout": "2s"}}`

func writeSettings(t *testing.T, s string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against settings of a cell's processes that are rejected although valid, and against faults that are accepted.
func TestCellSettings(t *testing.T) {
	entry := "{" + cellProcess + `, "Callers": "10.0.0.1:1", "Readiness": "10.0.0.1:2", "Retention": "120s", "Processors": 0.16, "Admission": "on", "Order": "off"}`
	agent := "{" + cellProcess + `, "Announcements": "10.0.0.1:1", "Worker": "10.0.0.1:2"}`
	if _, err := setup.LoadCellEntry(writeSettings(t, entry)); err != nil {
		t.Error(err)
	}
	if _, err := setup.LoadCellAgent(writeSettings(t, agent)); err != nil {
		t.Error(err)
	}
	for _, test := range []struct{ name, from, to, fault string }{
		{"no name", `"Name": "edge-1"`, `"Name": ""`, "$.Process.Name"},
		{"short lease", `"10000ms"`, `"10ms"`, "$.Process.Lease"},
		{"no port of the advertised address", `"Cell": "main"`, `"Cell": "main", "Advertise": "10.0.0.1"`, "$.Process.Advertise"},
		{"no memory", `284`, `0`, "$.Process.MemoryMiB"},
		{"few descriptors", `4100`, `100`, "$.Process.Descriptors"},
		{"few bytes", `1048576`, `1000`, "$.Process.Clients.Bytes"},
		{"negative number of connections", `"Connections": 100`, `"Connections": -1`, "$.Process.Clients.Connections"},
		{"more connections than descriptors", `"Connections": 100`, `"Connections": 5000`, "$.Process.Clients.Connections"},
		{"more from an address than in all", `90`, `101`, "$.Process.Clients.PerAddress"},
		{"long timeout", `"2s"`, `"2h"`, "$.Process.Clients.StallTimeout"},
		{"short timeout", `"StallTimeout": "2s"`, `"IdleTimeout": "1ms"`, "$.Process.Clients.IdleTimeout"},
		{"header of any length", `"PerAddress": 90`, `"HeaderBytes": 9000000`, "$.Process.Clients.HeaderBytes"},
		{"too many handshakes", `"PerAddress": 90`, `"Handshakes": 1`, "$.Process.Clients.Handshakes"},
		{"no store", `"10.0.0.9:8169"`, `""`, "$.Process.Store"},
		{"unknown field", `"Callers"`, `"Caller"`, "$.Caller"},
		{"same listeners", `"10.0.0.1:2"`, `"10.0.0.1:1"`, "$.Readiness"},
		{"no processors", `0.16`, `0`, "$.Processors"},
		{"unknown admission", `"on"`, `"yes"`, "$.Admission"},
		{"unknown order", `"off"`, `"yes"`, "$.Order"},
		{"short retention", `"120s"`, `"1ms"`, "$.Retention"},
		{"no bound", `"Retention"`, `"EvacuationBound": "0ms", "Retention"`, "$.EvacuationBound"},
		{"short bound", `"Retention"`, `"EvacuationBound": "1999ms", "Retention"`, "$.EvacuationBound"},
		{"long bound", `"Retention"`, `"EvacuationBound": "61s", "Retention"`, "$.EvacuationBound"},
		{"bound without unit", `"Retention"`, `"EvacuationBound": "5000", "Retention"`, "$.EvacuationBound"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := setup.LoadCellEntry(writeSettings(t, strings.Replace(entry, test.from, test.to, 1)))
			if err == nil || !strings.Contains(err.Error(), test.fault) {
				t.Errorf("error %v; want one that names %s", err, test.fault)
			}
		})
	}
}

// Guards against a bound from the environment that is ignored, replaces that of the file, or is not checked.
func TestEvacuationBoundFromEnvironment(t *testing.T) {
	entry := "{" + cellProcess + `, "Callers": "10.0.0.1:1", "Readiness": "10.0.0.1:2", "Retention": "120s", "Processors": 0.16}`
	for _, test := range []struct {
		variable string
		want     time.Duration // 0 for none, negative for an error
	}{{"", 0}, {"5000", 5 * time.Second}, {"five", -1}, {"100", -1}} {
		t.Setenv(setup.EvacuationBoundVariable, test.variable)
		e, err := setup.LoadCellEntry(writeSettings(t, entry))
		if test.want < 0 {
			if err == nil || !strings.Contains(err.Error(), "$.EvacuationBound") {
				t.Errorf("%q: error %v; want one that names $.EvacuationBound", test.variable, err)
			}
			continue
		}
		if got := e.EvacuationBound; err != nil || (got == nil) != (test.want == 0) || got != nil && got.Std() != test.want {
			t.Errorf("%q gives a bound of %v, %v; want %v", test.variable, got, err, test.want)
		}
	}
}
