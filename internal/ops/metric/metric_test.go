package metric_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/ops/metric"
)

var update = flag.Bool("update", false, "write docs/metrics.md")

func page() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nEvery process serves these at `/metrics` of its administration listener, with the prefix " +
		"`trefoilramp_`, in the text format\nof Prometheus. The collectors of the Go runtime and of the process are served " +
		"too. This page is generated from the code:\n`go test ./internal/ops/metric -update`.\n\n" +
		"| Name | Kind | Tags | Meaning |\n|---|---|---|---|\n")
	for _, e := range metric.Catalogue() {
		fmt.Fprintf(&b, "| `%s` | %v | %s | %s |\n", e.Name, e.Kind, strings.Join(e.Tags, ", "), e.Meaning)
	}
	return b.String()
}

// Guards against a metric that is missing from docs/metrics.md or described differently there, and against a constant
// without a catalogue entry.
func TestCatalogueIsPublished(t *testing.T) {
	const path = "../../../docs/metrics.md"
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
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("run go test ./internal/ops/metric -update (-code +published):\n%s", diff)
	}
	f, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	constants := 0
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.ValueSpec); ok {
			if typ, ok := s.Type.(*ast.Ident); ok && typ.Name == "Name" {
				constants += len(s.Names)
			}
		}
		return true
	})
	if got := len(metric.Catalogue()); got != constants {
		t.Errorf("%d constants but %d entries", constants, got)
	}
}

// Guards against a catalogue entry that cannot be recorded or is not exposed.
func TestEveryMetricIsExposed(t *testing.T) {
	s := metric.New(nil)
	for _, e := range metric.Catalogue() {
		values := make([]string, len(e.Tags))
		switch e.Kind {
		case metric.Counter:
			s.Counter(e.Name, values...).Inc(1)
		case metric.Gauge:
			s.Gauge(e.Name, values...).Update(1)
		case metric.Histogram:
			s.Histogram(e.Name, values...).RecordDuration(time.Second)
		}
	}
	if err := s.Close(); err != nil { // reports once more
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	for _, e := range metric.Catalogue() {
		if !strings.Contains(w.Body.String(), "\ntrefoilramp_"+string(e.Name)) {
			t.Errorf("%s is not exposed", e.Name)
		}
	}
}
