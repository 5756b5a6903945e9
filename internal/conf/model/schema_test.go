package model_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

var update = flag.Bool("update", false, "write docs/config.schema.json")

// Guards against a published schema that differs from the one generated from the Go structs.
func TestSchemaIsPublished(t *testing.T) {
	const path = "../../../docs/config.schema.json"
	want, err := model.Schema()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("run go test ./internal/conf/model -update (-code +published):\n%s", diff)
	}
}

// Guards against bounds in the schema that differ from those of validation, and against a number without bounds.
func TestSchemaRanges(t *testing.T) {
	b, err := model.Schema()
	if err != nil {
		t.Fatal(err)
	}
	schema, _ := parse(t, b).(map[string]any)
	if b, err = model.Default().Encode(); err != nil {
		t.Fatal(err)
	}
	p := prober{t: t, document: parse(t, b)}
	p.probe(schema, "$", p.document)
	if p.numbers != 21 || p.lists != 3 {
		t.Errorf("%d numbers and %d lists have ranges, want 21 and 3 in the default document", p.numbers, p.lists)
	}
}

func parse(t *testing.T, b []byte) any {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber() // some bounds have no exact float64
	var v any
	if err := d.Decode(&v); err != nil {
		t.Fatal(err)
	}
	return v
}

// prober walks a document together with its schema and validates it with the values at and beyond each bound.
type prober struct {
	t        *testing.T
	document any
	numbers  int
	lists    int
}

func (p *prober) probe(schema map[string]any, path string, v any) {
	p.t.Helper()
	switch v := v.(type) {
	case map[string]any:
		properties, _ := schema["properties"].(map[string]any)
		for name, property := range properties {
			property, _ := property.(map[string]any)
			at := path + "." + name
			if _, ok := property["minimum"]; ok {
				p.numbers++
				p.try(v, name, at, bound(property, "minimum"), bound(property, "maximum"), func(n int64) any { return n })
				continue
			}
			if _, ok := property["maxItems"]; ok {
				p.lists++
				p.try(v, name, at, bound(property, "minItems"), bound(property, "maxItems"), func(n int64) any {
					return slices.Repeat([]any{map[string]any{}}, int(max(n, 0)))
				})
			}
			p.probe(property, at, v[name])
		}
	case []any:
		items, _ := schema["items"].(map[string]any)
		for i := range v {
			p.probe(items, fmt.Sprintf("%s[%d]", path, i), v[i])
		}
	case json.Number:
		p.t.Errorf("%s has no range in the schema", path)
	}
}

func bound(schema map[string]any, name string) int64 {
	n, _ := schema[name].(json.Number)
	i, _ := n.Int64() // 0 when the bound is absent
	return i
}

// try sets a field to values around its bounds, compares validation with the schema, and restores the field.
func (p *prober) try(object map[string]any, name, at string, low, high int64, value func(int64) any) {
	p.t.Helper()
	old, present := object[name]
	for n, want := range map[int64]bool{low - 1: false, low: true, high: true, high + 1: false} {
		object[name] = value(n)
		if list, ok := object[name].([]any); ok && int64(len(list)) != n {
			continue // a list cannot have a negative length
		}
		if got := !p.isOutOfRange(at); got != want {
			p.t.Errorf("%s with %d: allowed by validation %v, by the schema %v", at, n, got, want)
		}
	}
	if object[name] = old; !present {
		delete(object, name)
	}
}

// isOutOfRange reports whether validation finds that the value at a path exceeds fixed bounds.
func (p *prober) isOutOfRange(path string) bool {
	p.t.Helper()
	b, err := json.Marshal(p.document)
	if err != nil {
		p.t.Fatal(err)
	}
	_, err = model.Parse(b)
	return slices.ContainsFunc(strict.FaultsOf(err), func(f strict.Fault) bool {
		return f.Path == path && (strings.Contains(f.Allowed, " to ") || strings.HasPrefix(f.Allowed, "at most "))
	})
}

// Guards against a missing difference, and against one that is reported where only the order of elements changed.
func TestDiff(t *testing.T) {
	a, b := model.Default(), model.Default()
	a.Services = append(a.Services, model.DefaultService("other"))
	b.Services = append([]model.Service{model.DefaultService("new"), model.DefaultService("other")}, b.Services...)
	b.Services[2].MaxBody = 7
	b.Teams = nil
	list, err := model.Diff(a, b)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range list {
		got = append(got, d.Path)
	}
	want := []string{`$.Services["hello"].MaxBody`, `$.Services["new"]`, `$.Teams["team-1"]`}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("paths differ (-want +got):\n%s\n%v", diff, list)
	}
}
