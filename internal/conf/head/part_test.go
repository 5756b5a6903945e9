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

// Guards against an agent that gets services it does not need or a share of slots that starves short or long work.
func TestAgentConfig(t *testing.T) {
	d := model.Default()
	d.Services = append(d.Services, model.DefaultService("other"))
	c := &head.Current{Revision: head.Revision{Version: 4}, Document: d}
	part := c.AgentConfig(sizes.Resources{Slots: 7}, []string{"hello", "undeclared"})
	if len(part.Services) != 1 || part.Services[0].Name != "hello" || part.Services[0].LongSlots != 3 {
		t.Errorf("services are %+v", part.Services)
	}
	if part.Version != 4 || part.AgentLease != int64(d.Policies.AgentLease) || len(part.Classes) != 1 {
		t.Errorf("part is %+v", part)
	}
	if got := c.AgentConfig(sizes.Resources{Slots: 1}, []string{"hello"}).Services[0].LongSlots; got != 1 {
		t.Errorf("long work has %d of 1 slots", got)
	}
}

// Guards against a version that counts as in force while a process of the zone still applies a lower one.
func TestTracker(t *testing.T) {
	tr := head.NewTracker()
	entry := head.Member{Role: wire.RoleEntry, Name: "e", Zone: "a"}
	agent := head.Member{Role: wire.RoleAgent, Name: "w", Zone: "a"}
	tr.Applied(entry, 3)
	tr.Applied(agent, 3)
	tr.Applied(agent, 2) // overtaken message
	if !tr.IsInForce(3) {
		t.Error("an overtaken message lowered the version")
	}
	tr.Applied(entry, 5)
	want := []head.ZoneVersions{{Zone: "a", Entries: 1, Agents: 1, Lowest: 3, Highest: 5}}
	if diff := cmp.Diff(want, tr.Zones()); diff != "" {
		t.Errorf("zones differ (-want +got):\n%s", diff)
	}
	if tr.IsInForce(5) || tr.Lowest("a") != 3 || tr.Lowest("b") != 0 {
		t.Error("version 5 counts as in force while an agent applies 3")
	}
	tr.Forget(agent)
	if !tr.IsInForce(5) {
		t.Error("a process that is gone holds up the version in force")
	}
}

// Guards against a takeover that waits for the shorter leases of a new version while an owner may still grant the longer
// ones of the version before.
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
		t.Errorf("%d earlier leases are kept, want 2: %+v", n, h.Current().Leases)
	}
	if agent, _ := h.Current().Longest(begin.Add(20 * time.Minute)); agent != 5*time.Minute {
		t.Errorf("longest agent lease is %v soon after it was shortened", agent)
	}
	if agent, owner := h.Current().Longest(begin.Add(22 * time.Minute)); agent != 15*time.Second || owner != 15*time.Minute {
		t.Errorf("longest leases are %v and %v long after they were shortened", agent, owner)
	}
}
