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

// call is an operator's call: a read, or an acceptance of the document with a hash on a base.
type call struct {
	accept bool
	base   uint64
	hash   string
}

// result is what the operator was told.
type result struct {
	outcome outcome
	version uint64
	hash    string
}

type outcome int

const (
	done outcome = iota
	conflict
	noEffect
	unknown
)

// headState is the accepted version in the model.
type headState struct {
	version uint64
	hash    string
}

// headModel is the head row as operators may see it: an acceptance takes effect once and only on its base.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{headState{}} },
	Step: func(state, input, output any) []any {
		s, c, r := state.(headState), input.(call), output.(result)
		next := headState{c.base + 1, c.hash}
		switch {
		case r.outcome == noEffect:
			return []any{s}
		case !c.accept:
			return keep(s, r.version == s.version && r.hash == s.hash)
		case r.outcome == done:
			if s.version != c.base || r.version != next.version {
				return nil
			}
			return []any{next}
		case r.outcome == conflict:
			return keep(s, s.version != c.base)
		case r.outcome == unknown && s.version == c.base:
			return []any{s, next}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

func keep(s headState, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

// history records the calls of all operators.
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
		end = math.MaxInt64 // may still take effect
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

// operate reads the head and submits a change of it.
func operate(ctx context.Context, hist *history, client int, entry *head.Holder, timeout time.Duration) {
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

// Guards against a change that is lost, takes effect twice, is based on another version than its operator saw, or is
// reported wrongly, while 8 operators race through two entries and responses of the store are lost.
func TestOperatorsRace(t *testing.T) {
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
					timeout = 10 * time.Millisecond // some outcomes stay unknown
				}
				operate(t.Context(), hist, client, entries[client%2], timeout)
			}
		})
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond) // for late effects
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
		t.Errorf("no race: %d accepted, %d conflicts", accepted, hist.count(conflict))
	}
	t.Logf("%d accepted, %d conflicts, %d without effect, %d unknown", accepted, hist.count(conflict), hist.count(noEffect), open)
}

// careless is a store that ignores conditions, after it has let two writers read the same head.
type careless struct {
	table.Store
	arrived *sync.WaitGroup
}

func (c careless) Transact(ctx context.Context, t table.Transaction) (table.Result, error) {
	c.arrived.Done()
	c.arrived.Wait()
	t.Conditions = nil
	return c.Store.Transact(ctx, t)
}

// Guards against a model that accepts any history: without compare and swap, two operators both win on one base.
func TestModelRejectsLostUpdate(t *testing.T) {
	var arrived, wg sync.WaitGroup
	arrived.Add(2)
	s := careless{store.New(store.Options{}), &arrived}
	hist := &history{start: time.Now()}
	for client := range 2 {
		entry := head.New(s, head.Options{})
		wg.Go(func() { operate(t.Context(), hist, client, entry, 5*time.Second) })
	}
	wg.Wait()
	if hist.count(done) != 2 {
		t.Fatalf("%d of 2 operators won", hist.count(done))
	}
	if hist.check() {
		t.Error("the model accepts a lost update")
	}
}
