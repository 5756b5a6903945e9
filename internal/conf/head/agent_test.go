package head_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// Guards against an agent that receives services it does not need, or slot limits that starve short or long requests.
func TestAgentConfig(t *testing.T) {
	d := model.Default()
	d.Services = append(d.Services, model.DefaultService("other"))
	c := &head.Current{Revision: head.Revision{Version: 4}, Document: d}
	cfg := c.AgentConfig(sizes.Resources{Slots: 7}, []string{"hello", "undeclared"})
	if len(cfg.Services) != 1 || cfg.Services[0].Name != "hello" || cfg.Services[0].LongSlots != 3 {
		t.Errorf("services are %+v", cfg.Services)
	}
	if cfg.Version != 4 || cfg.AgentLease != int64(d.Policies.AgentLease) || len(cfg.Classes) != 1 {
		t.Errorf("agent configuration is %+v", cfg)
	}
	if got := c.AgentConfig(sizes.Resources{Slots: 1}, []string{"hello"}).Services[0].LongSlots; got != 1 {
		t.Errorf("long requests have %d of 1 slots", got)
	}
}

// Guards against a version that is reported as in force while a process of the zone still applies a lower one.
func TestTracker(t *testing.T) {
	tr := head.NewTracker()
	entry := head.Member{Role: wire.RoleEntry, Name: "e", Zone: "a"}
	agent := head.Member{Role: wire.RoleAgent, Name: "w", Zone: "a"}
	tr.SetVersion(entry, 3)
	tr.SetVersion(agent, 3)
	tr.SetVersion(agent, 2) // message that was delayed
	if !tr.IsInForce(3) {
		t.Error("a delayed message lowered the version")
	}
	tr.SetVersion(entry, 5)
	want := []head.ZoneVersions{{Zone: "a", Entries: 1, Agents: 1, Lowest: 3, Highest: 5}}
	if diff := cmp.Diff(want, tr.Zones()); diff != "" {
		t.Errorf("zones differ (-want +got):\n%s", diff)
	}
	if tr.IsInForce(5) || tr.LowestVersion("a") != 3 || tr.LowestVersion("b") != 0 {
		t.Error("version 5 counts as in force while an agent applies 3")
	}
	tr.Remove(agent)
	if !tr.IsInForce(5) {
		t.Error("a process that has left delays the version in force")
	}
}

// Guards against a takeover that waits only for the shorter leases of a new version while an owner may still grant the
// longer leases of the previous version.
func TestLongestLeases(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	begin := now
	h := head.New(store.New(store.Options{}), head.Options{Now: func() time.Time { return now }})
	d := model.Default()
	for base, lease := range []time.Duration{20 * time.Second, 5 * time.Minute, 15 * time.Second, 16 * time.Second, 15 * time.Second} {
		d.Policies.AgentLease = model.Duration(lease)
		if _, err := h.Accept(t.Context(), head.Change{Author: "amina", Base: uint64(base), Document: d}); err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Second)
	}
	if n := len(h.Current().Leases); n != 2 {
		t.Errorf("%d earlier leases are retained, want 2: %+v", n, h.Current().Leases)
	}
	if agent, _ := h.Current().LongestLeases(begin.Add(20 * time.Minute)); agent != 5*time.Minute {
		t.Errorf("longest agent lease is %v soon after it was shortened", agent)
	}
	if agent, owner := h.Current().LongestLeases(begin.Add(22 * time.Minute)); agent != 15*time.Second || owner != 15*time.Minute {
		t.Errorf("longest leases are %v and %v long after they were shortened", agent, owner)
	}
}
