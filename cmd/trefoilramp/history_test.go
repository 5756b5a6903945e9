package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/sizes"
	platworker "trefoilramp.org/trefoilramp/internal/plat/worker"
	"trefoilramp.org/trefoilramp/internal/stand/target"
	standworker "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// record holds everything that was observed from outside the system.
type record struct {
	attempts []attempt
	runs     []target.Run
	workers  []standworker.HistoryResponse
	versions []versionSample
	capacity sizes.Resources
}

// versionSample is a configuration version that a process reported.
type versionSample struct {
	process string // name with the generation
	version uint64
}

// readRuns returns the runs in the logs of all target processes.
func (f *cluster) readRuns() []target.Run {
	f.t.Helper()
	var list []target.Run
	for _, m := range f.targets {
		for _, name := range m.logs {
			for s := bufio.NewScanner(bytes.NewReader(f.readLog(name))); s.Scan(); {
				var r target.Run
				if json.Unmarshal(s.Bytes(), &r) == nil && r.Path != "" && !r.Time.IsZero() {
					list = append(list, r)
				}
			}
		}
	}
	return list
}

func (f *cluster) readLog(name string) []byte {
	f.t.Helper()
	b, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	return b
}

func pathOf(a attempt) string {
	path, _, _ := strings.Cut(a.Path, "?")
	return path
}

func (r *record) runsOf() map[string][]target.Run {
	runs := make(map[string][]target.Run)
	for _, run := range r.runs {
		runs[run.Path] = append(runs[run.Path], run)
	}
	return runs
}

// checkAtMostOnce returns an error if a keyed request ran more than once.
func checkAtMostOnce(r *record) error {
	runs := r.runsOf()
	for _, a := range r.attempts {
		if n := len(runs[pathOf(a)]); a.Keyed && n > 1 {
			return errors.Newf("%s ran %d times: %v", a.Path, n, runs[pathOf(a)])
		}
	}
	return nil
}

// checkNotRun returns an error if a request ran although all its attempts were refused with NotRun.
func checkNotRun(r *record) error {
	runs, refused := r.runsOf(), make(map[string]bool)
	for _, a := range r.attempts {
		was, seen := refused[pathOf(a)]
		refused[pathOf(a)] = a.Outcome == "NotRun" && (was || !seen)
	}
	for path, only := range refused {
		if only && len(runs[path]) > 0 {
			return errors.Newf("%s was refused with NotRun, but ran: %v", path, runs[path])
		}
	}
	return nil
}

// checkWholeAnswers returns an error if a Complete response differs from the expected one. A response that the target
// cut off has no expected body, so it must not be Complete.
func checkWholeAnswers(r *record) error {
	for _, a := range r.attempts {
		if a.Outcome == "Complete" && a.Status == 200 && !a.Right {
			return errors.Newf("%s got a wrong response with outcome Complete", a.Path)
		}
	}
	return nil
}

// checkOnePlace returns an error if two attempts of a task overlap.
func checkOnePlace(r *record) error {
	var list []standworker.Interval
	for _, w := range r.workers {
		list = append(list, w.Intervals...)
	}
	return standworker.Overlap(list)
}

// checkCapacity returns an error if the tasks of a worker used more than its capacity.
func checkCapacity(r *record) error {
	for i, w := range r.workers {
		if !w.Peak.Fits(r.capacity) {
			return errors.Newf("tasks on worker %d used %+v of %+v", i+1, w.Peak, r.capacity)
		}
	}
	return nil
}

// checkVersions returns an error if the configuration version of a process went down.
func checkVersions(r *record) error {
	highest := make(map[string]uint64)
	for _, s := range r.versions {
		if s.version < highest[s.process] {
			return errors.Newf("%s went from configuration version %d back to %d", s.process, highest[s.process], s.version)
		}
		highest[s.process] = s.version
	}
	return nil
}

// checkEveryTaskRan returns an error if no worker completed a task of a finished job.
func checkEveryTaskRan(r *record, job ident.Job, tasks uint32) error {
	ended := make(map[uint32]bool)
	for _, w := range r.workers {
		for _, i := range w.Intervals {
			if i.Task.Job == job && (i.State == platworker.Storing || i.State == platworker.Done) {
				ended[i.Task.Index] = true
			}
		}
	}
	for i := range tasks {
		if !ended[i] {
			return errors.Newf("task %d of job %s is Done, but no worker completed it", i, job)
		}
	}
	return nil
}

// keyedEvent is the input of an operation on one key: the target starts the run, or a caller receives the response.
type keyedEvent struct {
	path string
	run  bool
	body string
}

// keyedState is the state of a key in keyedModel.
type keyedState struct {
	ran  bool
	body string
}

// keyedModel checks real-time order, which checkAtMostOnce does not: the run precedes every Complete response, and all
// these responses are equal.
var keyedModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			path := op.Input.(keyedEvent).path
			byKey[path] = append(byKey[path], op)
		}
		var list [][]porcupine.Operation
		for _, ops := range byKey {
			list = append(list, ops)
		}
		return list
	},
	Init: func() any { return keyedState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, e := state.(keyedState), input.(keyedEvent)
		if e.run {
			return !s.ran, keyedState{ran: true}
		}
		return s.ran && (s.body == "" || s.body == e.body), keyedState{true, e.body}
	},
}

// checkKeyedOrder returns an error if the events of keyed requests are not linearizable by keyedModel.
func checkKeyedOrder(r *record) error {
	var ops []porcupine.Operation
	keyed := make(map[string]bool)
	for i, a := range r.attempts {
		if !a.Keyed {
			continue
		}
		keyed[a.Path] = true
		if a.Outcome == "Complete" && a.Status == 200 {
			ops = append(ops, porcupine.Operation{
				ClientId: i, Input: keyedEvent{path: a.Path, body: a.Body}, Call: a.Sent.UnixNano(), Return: a.Got.UnixNano(),
			})
		}
	}
	for i, run := range r.runs {
		if keyed[run.Path] {
			at := run.Time.UnixNano()
			ops = append(ops, porcupine.Operation{
				ClientId: len(r.attempts) + i, Input: keyedEvent{path: run.Path, run: true}, Call: at, Return: at + 1,
			})
		}
	}
	if !porcupine.CheckOperations(keyedModel, ops) {
		return errors.Newf("%d events of keyed requests have no order in which each ran once before its responses", len(ops))
	}
	return nil
}

// checks are the checks of a record by name. TestHistoryChecksReject has a corrupted record for each.
var checks = map[string]func(*record) error{
	"AtMostOnce":   checkAtMostOnce,
	"NotRun":       checkNotRun,
	"WholeAnswers": checkWholeAnswers,
	"OnePlace":     checkOnePlace,
	"Capacity":     checkCapacity,
	"Versions":     checkVersions,
	"KeyedOrder":   checkKeyedOrder,
	"EveryTaskRan": func(r *record) error { return checkEveryTaskRan(r, "job", 2) },
}

// goodRecord returns a small record that passes all checks.
func goodRecord() *record {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	interval := func(task uint32, attempt, from, to int, state platworker.State) standworker.Interval {
		return standworker.Interval{
			Ref:  platworker.Ref{Task: ident.Task{Job: "job", Index: task}, Attempt: ident.Attempt(attempt)},
			From: at(from), To: at(to), State: state,
		}
	}
	return &record{
		capacity: sizes.Resources{Processors: 4000},
		attempts: []attempt{
			{Path: "/echo/1", Sent: at(0), Got: at(5), Outcome: "Complete", Status: 200, Right: true},
			{Path: "/echo/2?size=1", Sent: at(0), Got: at(5), Outcome: "NotRun", Status: 503},
			{Path: "/dispatch/1", Keyed: true, Sent: at(0), Got: at(5), Outcome: "Complete", Status: 200, Right: true, Body: "a"},
			{Path: "/dispatch/1", Keyed: true, Sent: at(0), Got: at(2), Outcome: "NotRun", Status: 503},
			{Path: "/dispatch/1", Keyed: true, Sent: at(6), Got: at(7), Outcome: "Complete", Status: 200, Right: true, Body: "a"},
		},
		runs: []target.Run{{Time: at(1), Path: "/echo/1"}, {Time: at(1), Path: "/dispatch/1"}},
		workers: []standworker.HistoryResponse{
			{Peak: sizes.Resources{Processors: 4000}, Intervals: []standworker.Interval{
				interval(0, 1, 0, 10, platworker.Paused), interval(1, 1, 0, 20, platworker.Done),
			}},
			{Intervals: []standworker.Interval{interval(0, 2, 10, 20, platworker.Storing)}},
		},
		versions: []versionSample{{"entry-1.1", 1}, {"entry-1.1", 2}, {"entry-1.2", 1}},
	}
}

// Guards against checks that accept a record they must reject.
func TestHistoryChecksReject(t *testing.T) {
	corruptions := map[string]func(r *record){
		"AtMostOnce":   func(r *record) { r.runs = append(r.runs, r.runs[1]) },
		"NotRun":       func(r *record) { r.runs = append(r.runs, target.Run{Path: "/echo/2"}) },
		"WholeAnswers": func(r *record) { r.attempts[0].Right = false },
		"OnePlace":     func(r *record) { r.workers[1].Intervals[0].From = r.workers[0].Intervals[0].From },
		"Capacity":     func(r *record) { r.workers[0].Peak.Processors++ },
		"Versions":     func(r *record) { r.versions[1].version = 0 },
		"KeyedOrder":   func(r *record) { r.attempts[4].Body = "b" },
		"EveryTaskRan": func(r *record) { r.workers[0].Intervals[1].State = platworker.Stopped },
	}
	if len(corruptions) != len(checks) {
		t.Fatalf("%d corruptions for %d checks", len(corruptions), len(checks))
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			r := goodRecord()
			if err := checks[name](r); err != nil {
				t.Fatalf("a valid record is rejected: %v", err)
			}
			corrupt(r)
			if checks[name](r) == nil {
				t.Error("the corrupted record is accepted")
			}
		})
	}
	late := goodRecord()
	late.runs[1].Time = late.attempts[2].Got.Add(time.Second)
	if checkKeyedOrder(late) == nil {
		t.Error("a Complete response before the run is accepted")
	}
}

// outcomes counts attempts by kind and outcome.
func outcomes(list []attempt) string {
	counts := make(map[string]int)
	for _, a := range list {
		kind, _, _ := strings.Cut(strings.TrimPrefix(a.Path, "/"), "/")
		counts[fmt.Sprintf("%s %q %d", kind, a.Outcome, a.Status)]++
	}
	var lines []string
	for k, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, ", ")
}
