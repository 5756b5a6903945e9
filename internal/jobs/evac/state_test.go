package evac_test

import (
	"slices"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/jobs/evac"
)

// Guards against starts without a read, on the grounds of an old or overtaken read, or in an evacuated zone.
func TestState(t *testing.T) {
	s, begin := evac.New(5*time.Second), time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	type list = []string
	for _, test := range []struct {
		readAt int // ms; negative for no read
		zones  list
		now    int
		want   list // zones in which starts are allowed
	}{
		{-1, nil, 0, nil}, {0, nil, 3999, list{"agadir", "bergen"}}, {-1, nil, 4000, nil},
		{3000, list{"other", "agadir", "agadir"}, 6999, list{"bergen"}}, {-1, nil, 7000, nil},
		{2000, nil, 6000, list{"bergen"}}, // began earlier and arrives late
		{5000, list{"agadir", "bergen"}, 5000, nil}, {6000, list{"bergen"}, 6000, list{"agadir"}},
	} {
		if test.readAt >= 0 {
			s.Apply(test.zones, at(test.readAt))
		}
		isWithheld := func(zone string) bool { return !s.Allows(zone, at(test.now)) }
		if got := slices.DeleteFunc(list{"agadir", "bergen"}, isWithheld); !slices.Equal(got, test.want) {
			t.Errorf("%v: allowed in %v", test, got)
		}
	}
}
