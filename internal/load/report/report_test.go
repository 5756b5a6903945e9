package report_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/load/drive"
	"trefoilramp.org/trefoilramp/internal/load/report"
)

func seconds(n int) model.Duration { return model.Duration(time.Duration(n) * time.Second) }

// build returns the report of 100 requests/s over 10 s. The k-th request of each second takes k*scale ms, and the last
// 10 of each second of the swing are refused after 5 ms.
func build(t *testing.T, scale int) report.Report {
	t.Helper()
	e := drive.Experiment{
		Name: "test", Entries: []string{"127.0.0.1:1"}, Duration: seconds(10), Interval: seconds(1), MaxRequests: 1000,
		Services: []drive.Service{{
			Name: "booking", Rate: 100, Deadline: model.Duration(50 * time.Millisecond),
			Requests: []drive.Request{{Name: "r", Weight: 1, Method: "GET", Path: "/", Deadline: model.Duration(50 * time.Millisecond)}},
			Swings:   []drive.Swing{{At: seconds(2), Over: seconds(1), For: seconds(2), Factor: 1}},
		}},
	}
	run := drive.Run{Started: time.Unix(0, 0), Elapsed: 10 * time.Second}
	for i := range 1000 {
		at := time.Duration(i) * 10 * time.Millisecond
		s := drive.Sample{At: at, Latency: time.Duration(scale*(i%100+1)) * time.Millisecond, Outcome: drive.Complete}
		if i%100 >= 90 && at >= 2*time.Second && at < 6*time.Second {
			s.Latency, s.Outcome = 5*time.Millisecond, drive.NotRun
		}
		run.Samples = append(run.Samples, s)
	}
	r, err := report.Build(e, run)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func near(got, want float64) bool { return math.Abs(got-want) <= 0.01*want }

// Guards against wrong percentiles, goodput, refusals or phases, on which every performance figure depends.
func TestBuild(t *testing.T) {
	r := build(t, 1)
	w := r.Services[0].Whole
	if w.Offered != 1000 || w.Good != 500 || w.NotRun != 40 || w.Complete != 960 || !near(w.GoodPerSecond, 50) || w.GoodShare != 0.5 {
		t.Errorf("whole run is %+v", w)
	}
	if !near(w.LatencyMillis.P50, 48) || !near(w.LatencyMillis.Max, 100) || !near(w.RefusalMillis.P99, 5) || w.RefusalMillis.Count != 40 {
		t.Errorf("latency is %+v, refusals %+v", w.LatencyMillis, w.RefusalMillis)
	}
	p := r.Services[0].Phases[0]
	if p.FromSeconds != 2 || p.ToSeconds != 6 || p.Summary.Offered != 400 || p.Summary.NotRun != 40 {
		t.Errorf("swing is %+v", p)
	}
	series := r.Services[0].Series
	if len(series) != 10 || series[9].Summary.Offered != 100 || series[3].Summary.NotRun != 10 || !near(series[0].Summary.LatencyMillis.P99, 99) {
		t.Errorf("series is %+v", series)
	}
}

// Guards against a page that is incomplete or refers to other files, and against JSON that cannot be read back.
func TestFormats(t *testing.T) {
	r := build(t, 1)
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	back, err := report.ReadJSON(&b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r, back); diff != "" {
		t.Errorf("report differs after a JSON round trip (-want +got):\n%s", diff)
	}
	if err := r.WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	if n := strings.Count(page, "<svg"); n != 2 {
		t.Errorf("the page has %d plots, want 2", n)
	}
	for _, word := range []string{"<?xml", "src=", "href=\"http", "NaN"} {
		if strings.Contains(page, word) {
			t.Errorf("the page contains %s", word)
		}
	}
}

// Guards against a page that cannot be drawn for a run with no response or a single one.
func TestPageOfShortRuns(t *testing.T) {
	whole := build(t, 1)
	for _, samples := range [][]drive.Sample{nil, {{Outcome: drive.Complete, Latency: time.Millisecond}}, {{Outcome: drive.Timeout}}} {
		e := whole.Experiment
		e.Duration = seconds(1)
		r, err := report.Build(e, drive.Run{Samples: samples})
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := r.WriteHTML(&b); err != nil || strings.Contains(b.String(), "NaN") {
			t.Errorf("page of %d samples: %v", len(samples), err)
		}
	}
}

// Guards against a comparison that hides a change, or that does not note that the runs are not comparable.
func TestCompare(t *testing.T) {
	a, b := build(t, 1), build(t, 2)
	b.Experiment.Seed = 9
	c := report.Compare(a, b)
	if len(c.Notes) != 1 || !strings.Contains(c.Notes[0], "seeds") {
		t.Errorf("notes are %v", c.Notes)
	}
	changes := make(map[string]string)
	for _, row := range c.Rows {
		changes[row.Service+"/"+row.Part+"/"+row.Measure] = row.Change()
	}
	if got := changes["booking/whole/good share"]; got != "-50.0%" {
		t.Errorf("change of the good share is %q", got)
	}
	if got := changes["booking/swing 1, 1x/refused"]; got != "=" {
		t.Errorf("change of refusals is %q", got)
	}
	var text bytes.Buffer
	if err := c.WriteText(&text); err != nil || !strings.Contains(text.String(), "-50.0%") {
		t.Errorf("text is %s, %v", text.String(), err)
	}
}
