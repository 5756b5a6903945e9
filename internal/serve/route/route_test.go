package route_test

import (
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/serve/route"
)

const (
	ms  = time.Millisecond
	run = 10 * ms
)

// ready returns n candidates a, b, ... that became ready an hour ago.
func ready(n int) []route.Candidate {
	list := make([]route.Candidate, n)
	for i := range list {
		list[i] = route.Candidate{Name: string(rune('a' + i)), Slots: 8, ReadyAt: time.Now().Add(-time.Hour)}
	}
	return list
}

// send sends n requests one after another and returns their number by target.
func send(p *route.Picker, set route.Set, n int, result func(name string) (route.Result, time.Duration)) map[string]int {
	count := make(map[string]int)
	for range n {
		c, ok := p.Pick(set, run, nil)
		if !ok {
			break
		}
		count[c.Name]++
		r, d := result(c.Name)
		time.Sleep(ms)
		p.Done(c.Name, r, run, d)
	}
	return count
}

func completed(string) (route.Result, time.Duration) { return route.Completed, run }

// Guards against requests to targets that are leaving, whose session has closed, or that were tried already.
func TestUnavailableTargetsGetNoRequests(t *testing.T) {
	p := route.NewPicker(1)
	list := ready(4)
	list[0].Leaving, list[1].Closed = true, true
	for range 200 {
		c, ok := p.Pick(route.Set{Local: list}, run, []string{"c"})
		if !ok || c.Name != "d" {
			t.Fatalf("picked %q, want d", c.Name)
		}
	}
	if c, ok := p.Pick(route.Set{Local: list}, run, []string{"c", "d"}); ok {
		t.Errorf("picked %q although none is left", c.Name)
	}
}

// Guards against using the free slots that an entry reported before it refused a request.
func TestRefusalInvalidatesHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := route.NewPicker(1)
		local, remote := ready(1), ready(1)
		local[0].Target, local[0].Slots = "t", 1
		remote[0].Name, remote[0].HintAt = "entry", time.Now()
		set := route.Set{Local: local, Remote: remote}
		pick := func(want string, slots int) {
			t.Helper()
			if got := p.Slots(set); got != slots {
				t.Errorf("%d slots, want %d", got, slots)
			}
			if c, ok := p.Pick(set, run, nil); !ok || c.Name != want {
				t.Errorf("picked %q, want %q", c.Name, want)
			}
		}
		pick("a", 9)
		pick("entry", 9)
		time.Sleep(ms)
		p.Done("entry", route.Refused, run, ms)
		time.Sleep(100 * ms)
		pick("a", 1)
		remote[0].HintAt = time.Now()
		pick("entry", 9)
	})
}

// Guards against load balancing that ignores requests in progress, including those of other entries.
func TestLoadSpreads(t *testing.T) {
	p := route.NewPicker(1)
	list := ready(4)
	list[0].InFlight, list[0].HintAt = 8, time.Now()
	count := make(map[string]int)
	for range 24 {
		c, _ := p.Pick(route.Set{Local: list}, run, nil)
		count[c.Name]++
	}
	if count["a"] > 3 || max(count["b"], count["c"], count["d"]) > 9 {
		t.Errorf("24 requests were spread as %v, want few on the busy target a", count)
	}
}

// Guards against requests to a full target while another has free slots.
func TestFullTargetsGetNoRequests(t *testing.T) {
	p := route.NewPicker(1)
	list := ready(4)
	count := make(map[string]int)
	for range 32 {
		c, _ := p.Pick(route.Set{Local: list}, run, nil)
		count[c.Name]++
	}
	for name, n := range count {
		if n != 8 {
			t.Errorf("%s got %d of 32 requests, want one for each of its 8 slots", name, n)
		}
	}
}

// Guards against routing to another zone when the gain is smaller than the cost of the link, and against queueing in
// a busy zone while another is idle.
func TestOtherZoneOnlyForGain(t *testing.T) {
	for _, c := range []struct {
		name  string
		busy  int64
		delay time.Duration
		loss  float64
		want  bool
	}{
		{"idle own zone", 0, ms, 0, false},
		{"busy own zone, short link", 16, 3 * ms, 0, true},
		{"busy own zone, long link", 16, 40 * ms, 0, false},
		{"busy own zone, lossy link", 16, 3 * ms, 0.3, false},
	} {
		p := route.NewPicker(1)
		local := ready(2)
		for i := range local {
			local[i].InFlight, local[i].HintAt = c.busy, time.Now()
		}
		remote := route.Candidate{Name: "far", Slots: 8, Delay: c.delay, Loss: c.loss}
		got, _ := p.Pick(route.Set{Local: local, Remote: []route.Candidate{remote}}, run, nil)
		if (got.Name == "far") != c.want {
			t.Errorf("%s: picked %q, want the other zone: %v", c.name, got.Name, c.want)
		}
	}
}

// Guards against a cold target that gets its full load at once, and against one that never gets its share.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := route.NewPicker(1)
		list := ready(4)
		list[0].ReadyAt = time.Now()
		share := func() int {
			count := make(map[string]int)
			for range 32 {
				c, _ := p.Pick(route.Set{Local: list}, run, nil)
				count[c.Name]++
			}
			for name, n := range count {
				for range n {
					p.Done(name, route.Completed, run, run)
				}
			}
			return count["a"]
		}
		if n := share(); n > 4 {
			t.Errorf("a new target got %d of 32 requests", n)
		}
		time.Sleep(10 * time.Second)
		if n := share(); n < 6 {
			t.Errorf("a target got %d of 32 requests after its slow start", n)
		}
	})
}

// Guards against outliers that retain their share of requests: targets that are slow, fail, fail fast and so appear
// fast, or alternate between success and failure, each with hints that overstate its capacity.
func TestOutliersLoseTheirShare(t *testing.T) {
	flips := 0
	for name, bad := range map[string]func() (route.Result, time.Duration){
		"slower":    func() (route.Result, time.Duration) { return route.Completed, 3 * run },
		"slow":      func() (route.Result, time.Duration) { return route.Completed, 20 * run },
		"fails":     func() (route.Result, time.Duration) { return route.Failed, run },
		"fast 500s": func() (route.Result, time.Duration) { return route.ServerError, ms / 10 },
		"flapping": func() (route.Result, time.Duration) {
			flips++
			if flips%2 == 0 {
				return route.Completed, run
			}
			return route.Failed, run
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := route.NewPicker(1)
			list := ready(4)
			list[0].Slots, list[0].MeanRun, list[0].HintAt = 1000, 1, time.Now()
			count := send(p, route.Set{Local: list}, 4000, func(name string) (route.Result, time.Duration) {
				if name == "a" {
					return bad()
				}
				return completed(name)
			})
			if count["a"] > 200 {
				t.Errorf("%s: bad target got %d of 4000 requests", name, count["a"])
			}
		})
	}
}

// Guards against refusing a service because all of its targets are ejected, and against targets that never regain
// their share after they were slow or failed.
func TestRecoveredTargetsAreUsedAgain(t *testing.T) {
	for name, bad := range map[string]struct {
		result route.Result
		run    time.Duration
	}{"failed": {route.Failed, run}, "slow": {route.Completed, 20 * run}} {
		synctest.Test(t, func(t *testing.T) {
			p := route.NewPicker(1)
			list := ready(2)
			all := func(string) (route.Result, time.Duration) { return bad.result, bad.run }
			if n := send(p, route.Set{Local: list[:1]}, 50, all); n["a"] != 50 {
				t.Errorf("%s: %d of 50 requests were sent to the only target", name, n["a"])
			}
			time.Sleep(time.Minute)
			count := make(map[string]int)
			for range 200 { // pairs of concurrent requests, so that load affects the choice
				var pair [2]string
				for i := range pair {
					c, _ := p.Pick(route.Set{Local: list}, run, nil)
					pair[i] = c.Name
					count[c.Name]++
				}
				time.Sleep(ms)
				for _, n := range pair {
					p.Done(n, route.Completed, run, run)
				}
			}
			if count["a"] < 150 || count["b"] < 150 {
				t.Errorf("%s: after recovery 400 requests were spread as %v", name, count)
			}
		})
	}
}
