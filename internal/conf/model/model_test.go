package model_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// Guards against a default document that fails validation or changes when it is encoded and decoded.
func TestDefaultRoundTrip(t *testing.T) {
	want := model.Default()
	b, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := model.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	again, err := got.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(b), string(again)); diff != "" {
		t.Errorf("document changed (-want +got):\n%s", diff)
	}
}

// Guards against a fault that validation misses, reports at another path, or that suppresses other faults.
func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *model.Document)
		paths  []string
	}{
		{"name", func(d *model.Document) { d.Services[0].Name = "a/b" }, []string{"$.Services[0].Name"}},
		{"deadline order", func(d *model.Document) { d.Services[0].DefaultDeadline = model.Duration(time.Minute) },
			[]string{"$.Services[0].DefaultDeadline"}},
		{"duplicate service", func(d *model.Document) { d.Services = append(d.Services, d.Services[0]) },
			[]string{"$.Services[1].Name"}},
		{"duplicate route", func(d *model.Document) {
			d.Services[0].Routes = []model.Route{{Path: "/a"}, {Path: "/a", Idempotent: true}, {Path: "b"}}
		}, []string{"$.Services[0].Routes[1]", "$.Services[0].Routes[2].Path"}},
		{"job fits no worker", func(d *model.Document) { d.JobClasses[0].DefaultSize.Memory = 61 << 30 },
			[]string{"$.JobClasses[0].DefaultSize"}},
		{"quota sum", func(d *model.Document) { d.Teams[0].Quota.Processors = 48_001 }, []string{"$.Teams"}},
		{"overflow", func(d *model.Document) {
			d.Teams[0].Quota.Memory = 1 << 62
			d.Teams = append(d.Teams, model.Team{Name: "b", Weight: 1, Quota: d.Teams[0].Quota})
			d.Teams[1].Quota.Processors = 1
		}, []string{"$.Teams[0].Quota.Memory", "$.Teams[1].Quota.Memory", "$.Teams"}},
		{"unknown references", func(d *model.Document) {
			d.Teams[0].JobClasses = []string{"nightly"}
			d.AvailabilityZones[0].Neighbours = []string{"zone-1", "zone-9"}
		}, []string{"$.Teams[0].JobClasses[0]", "$.AvailabilityZones[0].Neighbours[1]",
			"$.AvailabilityZones[0].Neighbours[0]"}},
		{"leases", func(d *model.Document) { d.Policies.AgentLease = model.Duration(10 * time.Minute) },
			[]string{"$.Policies.OwnerLease"}},
		{"no zones", func(d *model.Document) { d.AvailabilityZones = nil }, []string{"$.AvailabilityZones"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := model.Default()
			tt.change(&d)
			if diff := cmp.Diff(tt.paths, paths(d.Validate())); diff != "" {
				t.Errorf("paths differ (-want +got):\n%s\n%v", diff, d.Validate())
			}
		})
	}
}

func paths(faults strict.Faults) []string {
	var list []string
	for _, f := range faults {
		list = append(list, f.Path)
	}
	return list
}

// Guards against unknown, duplicate and wrongly typed fields that are ignored or that suppress each other's faults.
func TestParseReportsAllFaults(t *testing.T) {
	b, err := model.Default().Encode()
	if err != nil {
		t.Fatal(err)
	}
	s := strings.Replace(string(b), `"Weight": 1`, `"Weight": "one", "weight": 1`, 1)
	s = strings.Replace(s, `"AgentLease": "20s"`, `"AgentLease": "20s", "AgentLease": "1s"`, 1)
	s = strings.Replace(s, `"MaxBody": 1048576`, `"MaxBody": 0`, 1)
	_, err = model.Parse([]byte(s))
	want := []string{"$.Teams[0].Weight", "$.Teams[0].weight", "$.Policies.AgentLease", "$.Services[0].MaxBody"}
	if diff := cmp.Diff(want, paths(strict.FaultsOf(err))); diff != "" {
		t.Errorf("paths differ (-want +got):\n%s\n%v", diff, err)
	}
	for _, bad := range []string{"", "[]", "null", "{} {}", `{"Services":[}`} {
		if _, err := model.Parse([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// Guards against a route that matches part of a path segment and against a less specific route that overrides another.
func TestIsIdempotent(t *testing.T) {
	s := model.Service{Routes: []model.Route{
		{Path: "/", Idempotent: false},
		{Path: "/stock", Idempotent: true},
		{Method: "POST", Path: "/stock/order", Idempotent: false},
	}}
	tests := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/stock/check", true}, {"POST", "/stock/order/7", false}, {"GET", "/stock/order", true},
		{"GET", "/stockroom", false}, {"POST", "/stock", true},
	}
	for _, tt := range tests {
		if got := s.IsIdempotent(tt.method, tt.path); got != tt.want {
			t.Errorf("IsIdempotent(%s, %s) = %v, want %v", tt.method, tt.path, got, tt.want)
		}
	}
	if (model.Service{}).IsIdempotent("POST", "/") || !(model.Service{}).IsIdempotent("PUT", "/") {
		t.Error("the rule of RFC 9110 is not applied without routes")
	}
}

// Guards against a document that crashes the decoder, and against an accepted document that is rejected after encoding.
// The corpus is in testdata/fuzz.
func FuzzParse(f *testing.F) {
	b, err := model.Default().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := model.Parse(b)
		if err != nil {
			return
		}
		encoded, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := model.Parse(encoded); err != nil {
			t.Fatalf("accepted document is rejected after encoding: %v", err)
		}
	})
}
