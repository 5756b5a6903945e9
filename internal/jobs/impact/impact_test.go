package impact_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"trefoilramp.org/trefoilramp/internal/jobs/impact"
)

const floor = 0.16 // tail latency of an idle serving task as a share of its target

// tail returns the tail latency of a serving task under a load by the queueing model, with random noise.
func tail(r *rand.Rand, load float64) float64 {
	return floor / (1 - min(0.98, load)) * (0.9 + 0.2*r.Float64())
}

// Guards against images with little interference that are estimated as heavy, and the reverse.
func TestLearnsWeights(t *testing.T) {
	for _, test := range []struct {
		name      string
		weight    float64
		low, high float64
	}{
		{"light", 0.1, 0, 0.7}, {"heavy", 5, 2.5, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			table := impact.NewTable()
			own := -1.0
			for i := range 300 {
				var loads []impact.Load
				if i%20 >= 8 {
					loads = []impact.Load{{Image: "a", Use: 0.08}}
				}
				load := 0.35
				for _, l := range loads {
					load += test.weight * l.Use
				}
				own = table.Observe("s", tail(r, load), own, impact.SmoothedStdDev, loads)
			}
			if w := table.Weight(impact.Pair{Serving: "s", BestEffort: "a"}); w < test.low || w > test.high {
				t.Errorf("weight %.2f; want %.1f to %.1f", w, test.low, test.high)
			}
		})
	}
}

// Guards against a serving task above the load limit while heavy best-effort tasks run, and against throttling light
// tasks in their place.
func TestHeaviestAreThrottledFirst(t *testing.T) {
	table := impact.NewTable()
	table.Set(impact.Pair{Serving: "s", BestEffort: "heavy"}, 5)
	table.Set(impact.Pair{Serving: "s", BestEffort: "light"}, 0.1)
	bestEffort := []impact.Load{{Image: "light", Use: 0.2}, {Image: "heavy", Use: 0.1}, {Image: "heavy", Use: 0.1}}
	shares := table.Shares([]impact.Serving{{Image: "s", Own: 0.3}, {Image: "s", Own: 0.5}}, bestEffort)
	if shares[0] != 1 {
		t.Errorf("share of the light task is %.2f; want 1", shares[0])
	}
	load := 0.5
	for i, b := range bestEffort {
		load += table.Weight(impact.Pair{Serving: "s", BestEffort: b.Image}) * b.Use * shares[i]
	}
	if load > impact.LoadLimit+0.001 {
		t.Errorf("load %.2f over the limit", load)
	}
	if all := table.Shares(nil, bestEffort); all[1] != 1 || all[2] != 1 {
		t.Errorf("shares without a serving task are %v", all)
	}
}

// Guards against headroom reported on a worker whose serving tasks are at the load limit.
func TestHeadroom(t *testing.T) {
	table := impact.NewTable()
	table.Set(impact.Pair{Serving: "s", BestEffort: "heavy"}, 5)
	task := impact.Load{Image: "heavy", Use: 0.1}
	for _, test := range []struct {
		name  string
		own   []float64
		loads []impact.Load
		want  float64
	}{
		{"alone", nil, nil, 1},
		{"calm", []float64{0.2}, nil, 1},
		{"busy", []float64{impact.LoadLimit - 0.01}, nil, 0.01 / 0.5},
		{"taken", []float64{0.2}, []impact.Load{task}, (impact.LoadLimit - 0.2 - 0.5) / 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			var serving []impact.Serving
			for _, own := range test.own {
				serving = append(serving, impact.Serving{Image: "s", Own: own})
			}
			if got := table.Headroom(task, serving, test.loads); got < test.want-0.001 || got > test.want+0.001 {
				t.Errorf("headroom %.3f; want %.3f", got, test.want)
			}
		})
	}
}

// Guards against a new leader that loses the weights its predecessor learned, and against hints that outweigh samples.
func TestHint(t *testing.T) {
	empty := impact.NewTable()
	for _, w := range []float64{0.1, 5} {
		table := impact.NewTable()
		p := impact.Pair{Serving: "s", BestEffort: "a"}
		table.Hint(p, w)
		if got := table.Weight(p); got < w*0.6-0.1 || got > w*1.4+0.3 {
			t.Errorf("hint of %.1f gives %.2f", w, got)
		}
		before := table.Weight(p)
		table.Hint(p, 8)
		if got := table.Weight(p); got != before {
			t.Errorf("a second hint changes %.2f to %.2f", before, got)
		}
	}
	if len(empty.Weights()) != 0 {
		t.Error("a new table has weights")
	}
}

// Guards against a table that grows without bound with the number of image names.
func TestTableIsBounded(t *testing.T) {
	table := impact.NewTable()
	for i := range 3 * impact.MaxPairs {
		image := strconv.Itoa(i)
		table.Observe("s", 0.5, 0.4, impact.SmoothedStdDev, []impact.Load{{Image: image, Use: 0.1}})
		table.Set(impact.Pair{Serving: image, BestEffort: "f"}, 1)
		table.ServingLoad(image, 0.1)
	}
	if n := len(table.Weights()); n > impact.MaxPairs {
		t.Errorf("%d pairs in the table; limit is %d", n, impact.MaxPairs)
	}
	p := impact.Pair{Serving: "s", BestEffort: "last"}
	table.Set(p, 2)
	if w := table.Weight(p); w != 2 {
		t.Errorf("a weight of 2 set in a full table reads as %.2f", w)
	}
}

// Guards against a single weight for a best-effort image that slows some serving images and not others: the image would
// be throttled where it is harmless and run at full speed where it interferes.
func TestWeightsByPair(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	weights := map[string]float64{"touchy": 2, "calm": 0}
	table := impact.NewTable()
	own := map[string]float64{"touchy": -1, "calm": -1}
	for i := range 300 {
		var loads []impact.Load
		if i%20 >= 8 {
			loads = []impact.Load{{Image: "a", Use: 0.11}}
		}
		for serving, w := range weights {
			load := 0.35
			for _, l := range loads {
				load += w * l.Use
			}
			own[serving] = table.Observe(serving, tail(r, load), own[serving], impact.SmoothedStdDev, loads)
		}
	}
	if w := table.Weight(impact.Pair{Serving: "touchy", BestEffort: "a"}); w < 1.2 || w > 3 {
		t.Errorf("weight with the sensitive image is %.2f; actual weight 2", w)
	}
	if w := table.Weight(impact.Pair{Serving: "calm", BestEffort: "a"}); w > 0.4 {
		t.Errorf("weight with the insensitive image is %.2f; actual weight 0", w)
	}
	task := impact.Load{Image: "a", Use: 0.11}
	if headroom := table.Headroom(task, []impact.Serving{{Image: "calm", Own: 0.7}}, nil); headroom < 1 {
		t.Errorf("headroom beside the insensitive image is %.2f; want 1", headroom)
	}
	if shares := table.Shares([]impact.Serving{{Image: "touchy", Own: 0.7}}, []impact.Load{task}); shares[0] > 0.8 {
		t.Errorf("share beside the sensitive image is %.2f; want at most 0.8", shares[0])
	}
}
