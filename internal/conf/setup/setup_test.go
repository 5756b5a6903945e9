package setup_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

const entrySettings = `{
	"Name": "entry-1", "AvailabilityZone": "agadir",
	"Callers": "127.0.0.1:0", "Administration": "127.0.0.1:0", "Console": "127.0.0.1:0", "Sessions": "127.0.0.1:0",
	"Store": "http://127.0.0.1:7101",
	"Key": {"File": "key"},
	"ReadToken": {"Value": "read-token-0123456789"}, "ChangeToken": {"Value": "change-token-0123456789"}
}`

const agentSettings = `{
	"Name": "worker-1", "AvailabilityZone": "agadir", "Rack": "r1",
	"Announcements": "127.0.0.1:0", "Balancer": "127.0.0.1:7001", "Worker": "http://127.0.0.1:7102",
	"Key": {"Value": "key-0123456789abcdef"}, "KillDeadline": "10s"
}`

func writeKey(t testing.TB, content string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Guards against valid settings that are rejected and against a secret file that is not read.
func TestValid(t *testing.T) {
	dir := writeKey(t, "key-0123456789abcdef\n")
	e, err := setup.ParseEntry([]byte(entrySettings), dir)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(e.Key.Bytes()); got != "key-0123456789abcdef" {
		t.Errorf("key is %q", got)
	}
	if e.KillDeadline.Std() != setup.DefaultKillDeadline {
		t.Errorf("kill deadline is %v", e.KillDeadline)
	}
	if _, err := setup.ParseAgent([]byte(agentSettings), dir); err != nil {
		t.Error(err)
	}
}

// Guards against a fault that is not reported or that suppresses others.
func TestReportsAllFaults(t *testing.T) {
	s := strings.NewReplacer(`"entry-1"`, `"entry 1"`, `"http://127.0.0.1:7101"`, `"127.0.0.1:7101"`, `"Console"`,
		`"Konsole"`, "read-token-0123456789", "change-token-0123456789", `"Sessions": "127.0.0.1:0"`,
		`"Sessions": ":7001"`).Replace(entrySettings)
	_, err := setup.ParseEntry([]byte(s), t.TempDir())
	var paths []string
	for _, f := range strict.FaultsOf(err) {
		paths = append(paths, f.Path)
	}
	want := []string{"$.Konsole", "$.Name", "$.Advertise", "$.Store", "$.Key.File", "$.ChangeToken"}
	if diff := cmp.Diff(want, paths); diff != "" {
		t.Errorf("paths differ (-want +got):\n%s\n%v", diff, err)
	}
}

// Guards against a secret that appears in formatted text, JSON or an error.
func TestSecretIsNeverShown(t *testing.T) {
	const secret = "hunter2"
	s := setup.Secret{Value: secret}
	b, err := json.Marshal(struct{ S setup.Secret }{s})
	if err != nil {
		t.Fatal(err)
	}
	shown := []string{fmt.Sprintf("%v %+v %#v %s %q %x", s, s, s, s, s, s), string(b), fmt.Sprint(&s)}
	for _, key := range []string{`"hunter2"`, `{"Value": "hunter2"}`, `{"Value": ["hunter2"]}`, `{"File": {"x":"hunter2"}}`,
		`{"Value": "hunter2", "File": "hunter2"}`} {
		text := strings.Replace(entrySettings, `{"File": "key"}`, key, 1)
		if _, err := setup.ParseEntry([]byte(text), "/"); err == nil {
			t.Errorf("key %s was accepted", key)
		} else {
			shown = append(shown, err.Error())
		}
	}
	for _, text := range shown {
		if strings.Contains(text, secret) {
			t.Errorf("secret is shown: %s", text)
		}
	}
}

// Guards against settings that crash the decoder, and against accepted settings without a name. The corpus is in
// testdata/fuzz.
func FuzzParse(f *testing.F) {
	f.Add([]byte(entrySettings))
	f.Add([]byte(agentSettings))
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := setup.ParseEntry(b, "/nonexistent"); err == nil && e.Name == "" {
			t.Error("an entry without a name was accepted")
		}
		if a, err := setup.ParseAgent(b, "/nonexistent"); err == nil && a.Name == "" {
			t.Error("an agent without a name was accepted")
		}
	})
}
