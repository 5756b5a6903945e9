package event_test

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	gocmp "github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilramp.org/trefoilramp/internal/core/event"
)

var update = flag.Bool("update", false, "write docs/events.md")

var areas = []string{"", "Processes", "Sessions", "Serving", "Batch work", "Configuration", "Operations",
	"Workers and targets", "Store", "Jobs of steps"}

func page() string {
	list := event.Catalogue()
	slices.SortFunc(list, func(a, b event.Entry) int { return cmp.Compare(a.Number, b.Number) })
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line of the system carries the field `Event` with one of these numbers. " +
		"Numbers are never reused. This page is\ngenerated from the code: `go test ./internal/core/event -update`.\n")
	area := 0
	for _, e := range list {
		if n := int(e.Number) / 100; n != area {
			area = n
			fmt.Fprintf(&b, "\n## %s\n\n| Number | Level | Message | Meaning | Action |\n|---|---|---|---|---|\n", areas[area])
		}
		fmt.Fprintf(&b, "| %v | %v | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Meaning, e.Action)
	}
	return b.String()
}

// Guards against an event that is missing from docs/events.md or described differently there.
func TestCatalogueIsPublished(t *testing.T) {
	const path = "../../../docs/events.md"
	want := page()
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := gocmp.Diff(want, string(got)); diff != "" {
		t.Errorf("run go test ./internal/core/event -update (-code +published):\n%s", diff)
	}
}

// Guards against a constant without an entry, for which Log writes an error instead, and an incomplete entry.
func TestEveryNumberHasAnEntry(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	constants := 0
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range f.Decls {
			if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.CONST {
				for _, s := range g.Specs {
					constants += exported(s.(*ast.ValueSpec).Names)
				}
			}
		}
	}
	if got := len(event.Catalogue()); got != constants {
		t.Errorf("%d constants but %d entries", constants, got)
	}
	for _, e := range event.Catalogue() {
		if e.Message == "" || e.Meaning == "" || e.Action == "" || int(e.Number)/100 >= len(areas) {
			t.Errorf("entry of %v is incomplete", e.Number)
		}
	}
}

// exported returns the number of exported names.
func exported(names []*ast.Ident) int {
	n := 0
	for _, name := range names {
		if name.IsExported() {
			n++
		}
	}
	return n
}

// Guards against a warning or an error that docs/operating.md does not name, and an unknown event that it names.
func TestAlarmsAreDescribed(t *testing.T) {
	b, err := os.ReadFile("../../../docs/operating.md")
	if err != nil {
		t.Fatal(err)
	}
	named := make(map[string]bool)
	for _, number := range regexp.MustCompile(`\bE[0-9]{3}\b`).FindAllString(string(b), -1) {
		named[number] = true
	}
	for _, e := range event.Catalogue() {
		if e.Level >= zapcore.WarnLevel && !named[e.Number.String()] {
			t.Errorf("%v is a warning or an error, but docs/operating.md does not name it", e.Number)
		}
		delete(named, e.Number.String())
	}
	for number := range named {
		t.Errorf("docs/operating.md names %s, which is not in the catalogue", number)
	}
}

// Guards against stack traces in log lines, for which the limit on log volume does not allow.
func TestErrorsAreLoggedWithoutStacks(t *testing.T) {
	var b bytes.Buffer
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&b), zap.InfoLevel))
	event.Log(log, event.TakeoverFailed, zap.Error(errors.Wrap(errors.New("the store is unavailable"), "read the head")))
	if line := b.String(); !strings.Contains(line, "read the head: the store is unavailable") || strings.Contains(line, "Verbose") {
		t.Errorf("line is %s", line)
	}
}
