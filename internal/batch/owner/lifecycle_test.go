package owner_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	standin "trefoilramp.org/trefoilramp/internal/stand/worker"
)

// read is a client's query of a task: when it was called, when it returned, and whether the task was done.
type read struct {
	called, returned time.Time
	done             bool
}

type opKind int

const (
	opBegin opKind = iota // the worker starts or resumes the attempt
	opEnd                 // the worker pauses or ends the attempt
	opDone                // the owner records the result
	opRead
)

// op is an operation on one task.
type op struct {
	kind    opKind
	task    ident.Task
	worker  ident.Worker
	attempt ident.Attempt
	done    bool // result of opRead
}

// taskState is the state of a task in the model.
type taskState struct {
	worker  ident.Worker // where the task runs; empty if it does not run
	attempt ident.Attempt
	done    bool
}

// lifecycle is the model of one task: it runs on one worker at a time, attempt numbers never decrease, and it is done
// once, by the last attempt that ran.
var lifecycle = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTask := map[ident.Task][]porcupine.Operation{}
		for _, o := range history {
			t := o.Input.(op).task
			byTask[t] = append(byTask[t], o)
		}
		var list [][]porcupine.Operation
		for _, h := range byTask {
			list = append(list, h)
		}
		return list
	},
	Init: func() any { return taskState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(taskState), input.(op)
		switch o.kind {
		case opBegin:
			ok := s.worker == "" && o.attempt >= s.attempt && !s.done
			return ok, taskState{worker: o.worker, attempt: o.attempt}
		case opEnd:
			ok := s.worker == o.worker && o.attempt == s.attempt
			s.worker = ""
			return ok, s
		case opDone:
			ok := s.worker == "" && s.attempt == o.attempt && !s.done
			s.done = true
			return ok, s
		default:
			return s.done == o.done, s
		}
	},
}

// historyOf converts the workers' intervals and a client's reads of the task one/0 to operations of the model.
func historyOf(list []standin.Interval, log []read) []porcupine.Operation {
	var h []porcupine.Operation
	add := func(o op, called, returned time.Time) {
		h = append(h, porcupine.Operation{Input: o, Call: called.UnixNano(), Return: returned.UnixNano() + 1})
	}
	one := ident.Task{Job: "one"}
	var last standin.Interval
	for _, i := range list {
		add(op{kind: opBegin, task: i.Task, worker: i.Worker, attempt: i.Attempt}, i.From, i.From)
		add(op{kind: opEnd, task: i.Task, worker: i.Worker, attempt: i.Attempt}, i.To, i.To)
		if i.Task == one && i.To.After(last.To) {
			last = i
		}
	}
	for _, r := range log {
		add(op{kind: opRead, task: one, done: r.done}, r.called, r.returned)
	}
	if n := len(log); n > 0 && log[n-1].done {
		add(op{kind: opDone, task: one, attempt: last.Attempt}, last.To, log[n-1].returned)
	}
	return h
}

// checkLifecycle fails the test if the history cannot be linearized with the model.
func checkLifecycle(t *testing.T, list []standin.Interval, log []read) {
	t.Helper()
	if !porcupine.CheckOperations(lifecycle, historyOf(list, log)) {
		t.Errorf("task history does not conform to the model: %+v", list)
	}
}

// Guards against a model that is too permissive: it must reject each of the invalid histories.
func TestLifecycleRejectsSeededFaults(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	run := func(w ident.Worker, n ident.Attempt, from, to int) standin.Interval {
		i := standin.Interval{Worker: w, From: at(from), To: at(to)}
		i.Task, i.Attempt = ident.Task{Job: "one"}, n
		return i
	}
	readAt := func(s int, done bool) read { return read{at(s), at(s + 1), done} }
	cases := []struct {
		name string
		list []standin.Interval
		log  []read
		ok   bool
	}{
		{"moved once", []standin.Interval{run("a", 1, 0, 10), run("b", 2, 20, 30)},
			[]read{readAt(5, false), readAt(40, true)}, true},
		{"two places", []standin.Interval{run("a", 1, 0, 10), run("b", 2, 9, 30)}, []read{readAt(40, true)}, false},
		{"attempt goes back", []standin.Interval{run("a", 2, 0, 10), run("b", 1, 20, 30)}, []read{readAt(40, true)}, false},
		{"done while running", []standin.Interval{run("a", 1, 0, 10)}, []read{readAt(5, true)}, false},
		{"done, then not", []standin.Interval{run("a", 1, 0, 10)},
			[]read{readAt(12, true), readAt(15, false), readAt(20, true)}, false},
	}
	for _, c := range cases {
		if got := porcupine.CheckOperations(lifecycle, historyOf(c.list, c.log)); got != c.ok {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.ok)
		}
	}
}
