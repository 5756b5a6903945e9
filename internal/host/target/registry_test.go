package target_test

import (
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/host/target"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

var start = time.Unix(1_000_000, 0)

func info(state wire.TargetState) wire.TargetInfo {
	return wire.TargetInfo{Target: "booking-1", Service: "booking", State: state, Slots: 8, Connections: 64}
}

// Guards against new work for a target that is leaving or silent, also when its announcements arrive late.
func TestLookupFollowsAnnouncements(t *testing.T) {
	const address = "127.0.0.1:8080"
	steps := []struct {
		name  string
		after time.Duration
		state wire.TargetState // 0 for no announcement
		want  bool
	}{
		{"ready", 0, wire.TargetReady, true},
		{"still fresh", 1900 * time.Millisecond, 0, true},
		{"silent", 2000 * time.Millisecond, 0, false},
		{"back", 3000 * time.Millisecond, wire.TargetReady, true},
		{"leaving", 3100 * time.Millisecond, wire.TargetLeaving, false},
		{"late ready announcement", 3200 * time.Millisecond, wire.TargetReady, false},
		{"restarted after silence", 5200 * time.Millisecond, wire.TargetReady, true},
	}
	for _, expires := range []bool{true, false} { // a request may arrive after the silence and before Expire runs
		r := target.NewRegistry()
		for _, s := range steps {
			now := start.Add(s.after)
			if s.state != 0 {
				if _, err := r.Announce(info(s.state), address, now); err != nil {
					t.Fatalf("%s: %v", s.name, err)
				}
			}
			if expires {
				r.Expire(now)
			}
			if _, got := r.Lookup("booking", "", now); got != s.want {
				t.Errorf("%s, Expire %v: accepts new work = %v, want %v", s.name, expires, got, s.want)
			}
		}
	}
}

// Guards against accepting invalid announcements, which would make requests fail later.
func TestAnnounceRejectsInvalid(t *testing.T) {
	r := target.NewRegistry()
	for _, address := range []string{"", "localhost:80", "127.0.0.1"} {
		if _, err := r.Announce(info(wire.TargetReady), address, start); err == nil {
			t.Errorf("address %q was accepted", address)
		}
	}
	if _, err := r.Announce(info(wire.TargetSilent), "127.0.0.1:80", start); err == nil {
		t.Error("state Silent was accepted")
	}
}
