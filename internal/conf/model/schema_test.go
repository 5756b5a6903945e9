package model_test

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/conf/model"
)

var update = flag.Bool("update", false, "write docs/config.schema.json")

// Guards against a published schema that lacks a field of the Go structs or names one that they do not have.
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

// Guards against a difference that is not shown, or one that is shown where only the order of elements changed.
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
