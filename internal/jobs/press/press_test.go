package press_test

import (
	"math/rand/v2"
	"testing"

	"trefoilramp.org/trefoilramp/internal/jobs/press"
)

const floor = 0.16 // tail of an idle serving task as a share of its target

// tail returns the tail of a serving task under a load, as the model of a queue gives it, with noise.
func tail(r *rand.Rand, load float64) float64 {
	return floor / (1 - min(0.98, load)) * (0.9 + 0.2*r.Float64())
}

// Guards against light images that are taken for heavy ones and the reverse.
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
			table := press.NewTable()
			own := -1.0
			for i := range 300 {
				var loads []press.Load
				if i%20 >= 8 {
					loads = []press.Load{{Image: "a", Use: 0.08}}
				}
				load := 0.35
				for _, l := range loads {
					load += test.weight * l.Use
				}
				own = table.Observe("s", tail(r, load), own, loads)
			}
			if w := table.Weight("a"); w < test.low || w > test.high {
				t.Errorf("weight %.2f; want %.1f to %.1f", w, test.low, test.high)
			}
		})
	}
}

// Guards against a serving task over the limit while heavy tasks work on, and light ones that are held back for them.
func TestHeaviestGiveWay(t *testing.T) {
	table := press.NewTable()
	table.Set("heavy", 5)
	table.Set("light", 0.1)
	fills := []press.Load{{Image: "light", Use: 0.2}, {Image: "heavy", Use: 0.1}, {Image: "heavy", Use: 0.1}}
	shares := table.Shares([]float64{0.3, 0.5}, fills)
	if shares[0] != 1 {
		t.Errorf("the light task works at %.2f", shares[0])
	}
	load := 0.5
	for i, f := range fills {
		load += table.Weight(f.Image) * f.Use * shares[i]
	}
	if load > press.Limit+0.001 {
		t.Errorf("load %.2f over the limit", load)
	}
	if all := table.Shares(nil, fills); all[1] != 1 || all[2] != 1 {
		t.Errorf("shares without a serving task are %v", all)
	}
}

// Guards against a place beside busy serving tasks that looks free.
func TestRoom(t *testing.T) {
	table := press.NewTable()
	table.Set("heavy", 5)
	fill := press.Load{Image: "heavy", Use: 0.1}
	for _, test := range []struct {
		name  string
		own   []float64
		loads []press.Load
		want  float64
	}{
		{"alone", nil, nil, 1},
		{"calm", []float64{0.2}, nil, 1},
		{"busy", []float64{0.74}, nil, 0.02},
		{"taken", []float64{0.2}, []press.Load{fill}, 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := table.Room(fill, test.own, test.loads); got < test.want-0.001 || got > test.want+0.001 {
				t.Errorf("room %.3f; want %.3f", got, test.want)
			}
		})
	}
}

// Guards against a leader that forgets what the one before it learned, and against hints that outweigh what was seen.
func TestHint(t *testing.T) {
	known := press.NewTable()
	for _, w := range []float64{0.1, 5} {
		table := press.NewTable()
		table.Hint("a", w)
		if got := table.Weight("a"); got < w*0.6-0.1 || got > w*1.4+0.3 {
			t.Errorf("hint of %.1f gives %.2f", w, got)
		}
		before := table.Weight("a")
		table.Hint("a", 8)
		if got := table.Weight("a"); got != before {
			t.Errorf("a second hint changes %.2f to %.2f", before, got)
		}
	}
	if len(known.Known()) != 0 {
		t.Error("a new table knows something")
	}
}
