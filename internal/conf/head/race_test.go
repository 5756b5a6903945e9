package head_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// call is an operator's call: a read, or an acceptance of the document with the given hash based on the given version.
type call struct {
	accept bool
	base   uint64
	hash   string
}

// result is the response that the operator received.
type result struct {
	outcome outcome
	version uint64
	hash    string
}

// outcome is the outcome of a call as the operator sees it.
type outcome int

const (
	done outcome = iota
	conflict
	noEffect
	unknown
)

// headState is the state of the model: the accepted version.
type headState struct {
	version uint64
	hash    string
}

// headModel is the sequential specification of the head row: an acceptance takes effect once and only on its base.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{headState{}} },
	Step: func(state, input, output any) []any {
		s, c, r := state.(headState), input.(call), output.(result)
		next := headState{c.base + 1, c.hash}
		switch {
		case r.outcome == noEffect:
			return []any{s}
		case !c.accept:
			return stateIf(s, r.version == s.version && r.hash == s.hash)
		case r.outcome == done:
			if s.version != c.base || r.version != next.version {
				return nil
			}
			return []any{next}
		case r.outcome == conflict:
			return stateIf(s, s.version != c.base)
		case r.outcome == unknown && s.version == c.base:
			return []any{s, next}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

// stateIf returns s as the only next state if ok, and no state otherwise.
func stateIf(s headState, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

// history records the calls of all operators for the check of linearizability.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) record(client int, c call, run func() result) result {
	begin := time.Since(h.start).Nanoseconds()
	r := run()
	end := time.Since(h.start).Nanoseconds()
	if r.outcome == unknown {
		end = math.MaxInt64 // the call may still take effect
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: c, Call: begin, Output: r, Return: end})
	return r
}

func (h *history) check() bool {
	return porcupine.CheckOperations(headModel.ToModel(), h.ops)
}

func (h *history) count(o outcome) int {
	n := 0
	for _, op := range h.ops {
		if op.Input.(call).accept && op.Output.(result).outcome == o {
			n++
		}
	}
	return n
}

// readAndChange reads the accepted version and submits a change based on it.
func readAndChange(ctx context.Context, hist *history, client int, entry *head.Holder, timeout time.Duration) {
	seen := hist.record(client, call{}, func() result {
		c, err := entry.Load(ctx, 0)
		switch {
		case errors.Is(err, table.ErrNotFound):
			return result{}
		case err != nil:
			return result{outcome: noEffect}
		}
		return result{version: c.Version, hash: c.Hash}
	})
	if seen.outcome != done {
		return
	}
	d := model.Default()
	d.Teams[0].Weight = rand.Int64N(model.MaxWeight) + 1
	d.Services[0].MaxBody = rand.Int64N(model.MaxBody) + 1
	compact, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	hist.record(client, call{accept: true, base: seen.version, hash: model.Hash(compact)}, func() result {
		c, err := entry.Accept(ctx, head.Change{Author: fmt.Sprintf("operator-%d", client), Base: seen.version, Document: d})
		ce := (*head.ConflictError)(nil)
		switch {
		case err == nil:
			return result{outcome: done, version: c.Version, hash: c.Hash}
		case errors.As(err, &ce):
			return result{outcome: conflict}
		case errors.Is(err, table.ErrUnknown):
			return result{outcome: unknown}
		}
		return result{outcome: noEffect}
	})
}

// Guards against a change that is lost, takes effect twice, replaces another version than its operator read, or has a
// wrong outcome reported, while 8 operators make changes through two entries and the store loses responses.
func TestConcurrentOperators(t *testing.T) {
	s := store.New(store.Options{Latency: time.Millisecond})
	entries := []*head.Holder{head.New(s.Client("a"), head.Options{}), head.New(s.Client("b"), head.Options{})}
	err := s.Faults().Set(
		script.Rule{Action: script.LoseAfter, Kind: store.KindTransact, Client: "a", First: 2, Count: 4},
		script.Rule{Action: script.LoseLate, Kind: store.KindTransact, Client: "b", First: 3, Count: 4, Delay: script.Duration(30 * time.Millisecond)},
		script.Rule{Action: script.LoseAfter, Kind: store.KindTransact, First: 20, Count: 6},
		script.Rule{Action: script.Down, First: 120, Count: 10},
	)
	if err != nil {
		t.Fatal(err)
	}
	hist := &history{start: time.Now()}
	var wg sync.WaitGroup
	for client := range 8 {
		wg.Go(func() {
			for i := range 8 {
				timeout := 5 * time.Second
				if i%4 == 3 {
					timeout = 10 * time.Millisecond // some outcomes remain unknown
				}
				readAndChange(t.Context(), hist, client, entries[client%2], timeout)
			}
		})
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond) // for calls that take effect late
	s.Faults().Clear()
	final, err := entries[0].Load(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	hist.record(8, call{}, func() result { return result{version: final.Version, hash: final.Hash} })
	if !hist.check() {
		t.Error("the history is not linearizable")
	}
	accepted, open := hist.count(done), hist.count(unknown)
	records, err := audit.Log{Store: s}.List(t.Context(), time.Time{}, audit.MaxList)
	if err != nil {
		t.Fatal(err)
	}
	if n := uint64(len(records)); n != final.Version || final.Version < uint64(accepted) {
		t.Errorf("%d audit records, version %d, %d accepted, %d unknown", n, final.Version, accepted, open)
	}
	if accepted == 0 || hist.count(conflict) == 0 {
		t.Errorf("no concurrent changes: %d accepted, %d conflicts", accepted, hist.count(conflict))
	}
	t.Logf("%d accepted, %d conflicts, %d without effect, %d unknown", accepted, hist.count(conflict), hist.count(noEffect), open)
}

// unconditionalStore is a store that ignores conditions, after two writers have read the same head.
type unconditionalStore struct {
	table.Store
	arrived *sync.WaitGroup
}

func (u unconditionalStore) Transact(ctx context.Context, t table.Transaction) (table.Result, error) {
	u.arrived.Done()
	u.arrived.Wait()
	t.Conditions = nil
	return u.Store.Transact(ctx, t)
}

// Guards against a model that accepts every history: without compare-and-swap, two changes on one base both succeed.
func TestModelRejectsLostUpdate(t *testing.T) {
	var arrived, wg sync.WaitGroup
	arrived.Add(2)
	s := unconditionalStore{store.New(store.Options{}), &arrived}
	hist := &history{start: time.Now()}
	for client := range 2 {
		entry := head.New(s, head.Options{})
		wg.Go(func() { readAndChange(t.Context(), hist, client, entry, 5*time.Second) })
	}
	wg.Wait()
	if hist.count(done) != 2 {
		t.Fatalf("%d of 2 operators succeeded", hist.count(done))
	}
	if hist.check() {
		t.Error("the model accepts a lost update")
	}
}
