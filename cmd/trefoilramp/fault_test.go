package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/netsim"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
	standworker "trefoilramp.org/trefoilramp/internal/stand/worker"
)

const (
	killDeadline     = 4 * time.Second // of entries and agents
	taskProcessors   = 1000            // thousandths
	workerProcessors = 4000            // thousandths
	targetSlots      = 8
)

// member is a process that is restarted under the same name and addresses.
type member struct {
	name       string
	kind       string // first argument of the program: entry, agent or standin
	args       []string
	settings   object
	generation int // number of starts
	started    time.Time
	proc       *process
	line       logLine
	logs       []string // names of the logs of all generations
}

// cluster is a deployment whose processes are restarted and whose sessions run through relays.
type cluster struct {
	*deployment
	store       string
	entries     []*member
	agents      []*member
	targets     []*member
	workers     []string // base URLs
	workerProcs []*process
	relays      []*netsim.Relay
	api         []*admin.Client

	processes processNames
}

func (f *cluster) launch(m *member) {
	f.t.Helper()
	m.generation++
	until := event.ProcessStarted
	if m.kind == "standin" {
		until = event.StandInStarted
	}
	m.started = time.Now()
	f.processes.update(f)
	log := fmt.Sprintf("%s.%d", m.name, m.generation)
	m.logs = append(m.logs, log)
	m.proc, m.line = f.start(log, until, m.settings, m.args...)
}

func newCluster(t testing.TB, workers int, d model.Document) *cluster {
	f := &cluster{deployment: newDeployment(t)}
	_, l := f.start("store", event.StandInStarted, object{
		"Address": "127.0.0.1:0", "WritesPerSecond": 300, "ReadsPerSecond": 2000, "Latency": "2ms",
	}, "standin", "store")
	f.store = "http://" + l.Address
	for i := range 2 {
		f.addEntry(fmt.Sprintf("entry-%d", i+1))
	}
	b, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.api[0].Apply(t.Context(), 0, b); err != nil {
		t.Fatalf("apply configuration: %v", err)
	}
	for i := range workers {
		f.addWorker(i)
	}
	f.awaitTargets(startTimeout)
	return f
}

// addEntry starts an entry whose sessions run through a relay.
func (f *cluster) addEntry(name string) {
	r, err := netsim.New(f.t.Context(), "127.0.0.1:1")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.relays = append(f.relays, r)
	m := &member{name: name, kind: "entry", args: []string{"entry"}, settings: object{
		"Name": name, "AvailabilityZone": processZone, "Callers": "127.0.0.1:0", "Administration": "127.0.0.1:0",
		"Sessions": "127.0.0.1:0", "Advertise": r.Address(), "Store": f.store, "Key": secretOf(processKey),
		"ReadToken": secretOf(readToken), "ChangeToken": secretOf(changeToken), "KillDeadline": killDeadline.String(),
	}}
	f.launch(m)
	r.SetTarget(m.line.Listening)
	m.settings["Callers"], m.settings["Administration"] = m.line.Callers, m.line.Administration
	f.entries = append(f.entries, m)
	f.api = append(f.api, admin.NewClient("http://"+m.line.Administration, changeToken, "test", nil))
}

func (f *cluster) addWorker(i int) {
	name := fmt.Sprintf("w%d", i+1)
	proc, l := f.start("worker-"+name, event.StandInStarted, object{
		"Worker": name, "AvailabilityZone": processZone, "Rack": "rack-1", "Address": "127.0.0.1:0", "Store": f.store,
		"Total": object{"Processors": workerProcessors, "Memory": int64(workerMemory), "Slots": targetSlots,
			"Connections": 64},
		"Lag": "500ms",
	}, "standin", "worker")
	f.workers, f.workerProcs = append(f.workers, "http://"+l.Address), append(f.workerProcs, proc)
	a := &member{name: "agent-" + name, kind: "agent", args: []string{"agent"}, settings: object{
		"Name": name, "AvailabilityZone": processZone, "Rack": "rack-1", "Announcements": "127.0.0.1:0",
		"Balancer": f.relays[i%len(f.relays)].Address(), "Worker": "http://" + l.Address, "Key": secretOf(processKey),
		"KillDeadline": killDeadline.String(),
	}}
	f.launch(a)
	a.settings["Announcements"] = a.line.Announcements
	f.agents = append(f.agents, a)
	m := &member{name: "target-" + name, kind: "standin", args: []string{"standin", "target"}, settings: object{
		"Target": "booking-" + name, "Service": "booking", "Address": "127.0.0.1:0",
		"Agent": "http://" + a.line.Announcements, "Slots": targetSlots, "Connections": 64,
		"Times": object{"Service": "5ms"}, "LogRuns": true,
	}}
	f.launch(m)
	f.targets = append(f.targets, m)
}

// awaitTargets waits until every entry knows every target.
func (f *cluster) awaitTargets(timeout time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		missing := ""
		for i, api := range f.api {
			st, err := api.Status(f.t.Context())
			switch {
			case err != nil:
				missing = fmt.Sprintf("entry %d: %v", i+1, err)
			case st.InForce == 0 || len(st.Services) == 0 || len(st.Services[0].Targets) < len(f.targets):
				missing = fmt.Sprintf("entry %d reports %+v at version %d", i+1, st.Services, st.InForce)
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("not all targets are known after %s: %s", timeout, missing)
		}
	}
}

// replace starts a new process under the name and at the addresses of one that has exited.
func (f *cluster) replace(m *member) {
	f.launch(m)
	if m.kind == "entry" {
		f.relays[slices.Index(f.entries, m)].SetTarget(m.line.Listening)
	}
}

func (f *cluster) signal(m *member, s syscall.Signal) {
	f.t.Helper()
	if err := m.proc.cmd.Process.Signal(s); err != nil {
		f.t.Fatalf("signal %v to %s: %v", s, m.name, err)
	}
}

// setStoreFaults replaces the faults of the store; without rules, it ends them.
func (f *cluster) setStoreFaults(rules ...script.Rule) {
	f.t.Helper()
	b, err := json.Marshal(store.FaultsRequest{Rules: rules})
	if err != nil {
		f.t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.store+"/v1/faults", bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		f.t.Fatalf("store rejected faults: %s", w.Status)
	}
}

// histories returns the run history and the peak usage of every worker.
func (f *cluster) histories() []standworker.HistoryResponse {
	f.t.Helper()
	list := make([]standworker.HistoryResponse, len(f.workers))
	for i, base := range f.workers {
		if err := getJSON(f.t.Context(), base+"/v1/history", &list[i]); err != nil {
			f.t.Fatal(err)
		}
	}
	return list
}

// injector draws faults at random, injects them and ends them.
type injector struct {
	*cluster
	*outages
	rng *rand.Rand
}

// round injects one or two faults.
func (s *injector) round() {
	for range 1 + s.rng.IntN(2) {
		s.inject()
	}
}

// inject draws a fault and a component, and injects it unless the component has a fault.
func (s *injector) inject() {
	duration := time.Duration(100+s.rng.IntN(1400)) * time.Millisecond
	switch s.rng.IntN(10) {
	case 0, 1:
		m := s.drawMember(s.entries, s.agents)
		s.add("kill "+m.kind, m.name, duration, func() { m.proc.kill() }, func() { s.replace(m) })
	case 2, 3:
		m := s.drawMember(s.entries, s.agents, s.targets)
		if s.rng.IntN(4) == 0 {
			duration += 3 * time.Second // longer than the agent lease
		}
		s.add("pause "+m.args[len(m.args)-1], m.name, duration, func() { s.signal(m, syscall.SIGSTOP) },
			func() { s.signal(m, syscall.SIGCONT) })
	case 4, 5:
		i := s.rng.IntN(len(s.relays))
		r, dir := s.relays[i], netsim.Direction(1+s.rng.IntN(3))
		s.add(fmt.Sprintf("drop direction %d", dir), fmt.Sprintf("relay-%d", i), duration, func() { r.Drop(dir) }, r.Restore)
	case 6:
		rule := []script.Rule{
			{Action: script.Down},
			{Action: script.Slow, Delay: model.Duration(400 * time.Millisecond)},
			{Action: script.LoseAfter, Count: 20, Delay: model.Duration(50 * time.Millisecond)},
			{Action: script.LoseLate, Count: 20, Delay: model.Duration(300 * time.Millisecond)},
		}[s.rng.IntN(4)]
		s.add("store "+rule.Action.String(), "store", duration, func() { s.setStoreFaults(rule) },
			func() { s.setStoreFaults() })
	case 7, 8:
		m := s.drawMember(s.targets)
		s.add("kill target", m.name, duration, func() { m.proc.kill() }, func() { s.replace(m) })
	case 9:
		m := s.drawMember(s.entries, s.agents)
		s.add("terminate "+m.kind, m.name, duration, func() { s.signal(m, syscall.SIGTERM) }, func() {
			select {
			case <-m.proc.done:
			case <-time.After(killDeadline + 5*time.Second):
				s.t.Errorf("%s did not exit within %s of SIGTERM", m.name, killDeadline+5*time.Second)
			}
			m.proc.kill()
			s.replace(m)
		})
	}
}

func (s *injector) drawMember(groups ...[]*member) *member {
	g := groups[s.rng.IntN(len(groups))]
	return g[s.rng.IntN(len(g))]
}
