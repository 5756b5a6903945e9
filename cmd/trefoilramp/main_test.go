package main_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// program is the built binary with a directory and the environment to call an administration API.
type program struct {
	path string
	dir  string
	env  []string
}

// build builds the binary and starts an administration API with a store of its own.
func build(t *testing.T) program {
	t.Helper()
	dir := t.TempDir()
	p := program{path: filepath.Join(dir, "trefoilramp"), dir: dir}
	if b, err := exec.CommandContext(t.Context(), "go", "build", "-o", p.path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, b)
	}
	s := store.New(store.Options{})
	api := httptest.NewServer(admin.New(admin.Options{
		Tokens: admin.NewTokens([]byte("read-token-0123456789"), []byte("change-token-0123456789")),
		Config: head.New(s, head.Options{}), Audit: audit.Log{Store: s},
	}))
	t.Cleanup(api.Close)
	p.write(t, "token", "change-token-0123456789\n")
	p.write(t, "read", "read-token-0123456789\n")
	p.write(t, "wrong", "wrong-token-0123456789\n")
	p.write(t, "busy.json", `{"Address": "`+api.Listener.Addr().String()+`"}`)
	b, err := model.Default().Encode()
	if err != nil {
		t.Fatal(err)
	}
	p.write(t, "doc.json", string(b))
	p.write(t, "other.json", strings.Replace(string(b), `"Weight": 1`, `"Weight": 2`, 1))
	p.write(t, "bad.json", strings.Replace(string(b), `"Weight": 1`, `"Weight": 0, "Wait": 1`, 1))
	p.env = []string{"TREFOILRAMP_ADDRESS=" + api.URL, "TREFOILRAMP_TOKEN_FILE=token", "TREFOILRAMP_OPERATOR=amina"}
	return p
}

func (p program) write(t *testing.T, name, content string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(p.dir, name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (p program) run(ctx context.Context, args string) (code int, stdout, stderr string) {
	c := exec.CommandContext(ctx, p.path, strings.Fields(args)...)
	var o, e bytes.Buffer
	c.Dir, c.Env, c.Stdout, c.Stderr = p.dir, p.env, &o, &e
	if err := c.Run(); err != nil {
		code = -1
		if ee := (*exec.ExitError)(nil); errors.As(err, &ee) {
			code = ee.ExitCode()
		}
	}
	return code, o.String(), e.String()
}

// Guards against invalid input that does not lead to exit code 2 and one line on standard error, and against commands
// that fail with the administration API.
func TestCommands(t *testing.T) {
	p := build(t)
	tests := []struct {
		args   string
		code   int
		stdout string
		stderr string
	}{
		{"", 2, "", "needs a command"},
		{"unknown", 2, "", "unknown command"},
		{"config unknown", 2, "", "use one of check, get, diff, apply, history"},
		{"config check", 2, "", "needs FILE"},
		{"config check --wrong doc.json", 2, "", "-wrong"},
		{"config check missing.json", 2, "", "no such file"},
		{"config check bad.json", 2, "$.Teams[0].Weight: 0 is not allowed", "2 faults"},
		{"config check --json bad.json", 2, `"Path": "$.Teams[0].Wait"`, "2 faults"},
		{"config check doc.json", 0, "valid: 1 services", ""},
		{"config get", 2, "", "no configuration is accepted yet; submit the first with trefoilramp config apply --base 0 FILE\n"},
		{"config apply doc.json", 2, "", "--base N"},
		{"config apply --base 0 --token-file read doc.json", 2, "", "use the token of the changing role"},
		{"config apply --base 0 doc.json", 0, "version 1 is accepted", ""},
		{"config apply --base 0 doc.json", 0, "version 1 is accepted", ""},
		{"config apply --base 0 other.json", 1, "", "version 1 is accepted"},
		{"config get", 0, `"Services": [`, "--base 1"},
		{"config get --json", 0, `"Version": 1`, ""},
		{"config diff doc.json", 0, "0 differences from version 1", ""},
		{"config history", 0, "amina", ""},
		{"audit", 0, "Accept", ""},
		{"audit --before yesterday", 2, "", "is no time"},
		{"job submit --team team-1", 2, "", "$.Class: missing"},
		{"job submit --team x --class standard --command a", 2, "", "the name of a declared team"},
		{"job list", 2, "", "takes no jobs"},
		{"worker drain", 2, "", "needs NAME"},
		{"status --address ://", 2, "", "no URL"},
		{"status --token-file none", 2, "", "token file"},
		{"audit --address 127.0.0.1:1", 1, "", "connection refused; check --address"},
		{"audit --limit many", 2, "", `invalid value "many" for flag --limit: invalid syntax; see trefoilramp audit --help`},
		{"status --token-file wrong", 2, "", "check the token file"},
		{"entry", 2, "", "needs --settings FILE; see trefoilramp entry --help"},
		{"agent --settings missing.json", 2, "", "name a readable file"},
		{"standin store --settings doc.json", 2, "", "correct it and check it again with --check"},
		{"standin store --settings busy.json", 1, "", "address already in use"},
		{"load --experiment missing.json", 2, "", "name a readable file"},
		{"load --experiment doc.json", 2, "", "correct it and check it again with --check"},
		{"load --compare doc.json missing.json", 2, "", "report"},
		{"cell explain --address 127.0.0.1:1 --queue q", 2, "", "needs FILE"},
		{"cell explain --address 127.0.0.1 --queue q doc.json", 2, "", "is not HOST:PORT"},
		{"cell explain --address 127.0.0.1:1 --queue q missing.json", 2, "", "name a readable file"},
		{"cell explain --address 127.0.0.1:1 --queue q doc.json", 1, "", "connection refused"},
		{"cell explain --address " + strings.TrimPrefix(p.env[0], "TREFOILRAMP_ADDRESS=http://") + " --queue q doc.json", 2, "", "is not the Administration"},
		{"version", 0, "trefoilramp", ""},
	}
	for _, tt := range tests {
		code, stdout, stderr := p.run(t.Context(), tt.args)
		if code != tt.code || !strings.Contains(stdout, tt.stdout) || !strings.Contains(stderr, tt.stderr) {
			t.Errorf("trefoilramp %s: exit code %d, want %d\nstdout: %s\nstderr: %s", tt.args, code, tt.code, stdout, stderr)
		}
		if code != 0 && strings.Count(stderr, "\n") != 1 {
			t.Errorf("trefoilramp %s: standard error is not one line: %q", tt.args, stderr)
		}
	}
}
