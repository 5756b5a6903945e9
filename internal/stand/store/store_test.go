package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

type counter struct {
	Txn ident.Txn
	N   int
}

// increment adds 1 to the row "counter" by compare-and-swap and reports whether it committed. Each increment also
// writes a marker row of its own, since other clients overwrite the counter.
func increment(ctx context.Context, s table.Store, marker string) (bool, error) {
	row, err := table.Get(ctx, s, "counter")
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return false, err
	}
	c := counter{Txn: ident.NewTxn()}
	if len(row.Value) > 0 {
		var old counter
		if err := json.Unmarshal(row.Value, &old); err != nil {
			return false, err
		}
		c.N = old.N
	}
	c.N++
	v, err := json.Marshal(c)
	if err != nil {
		return false, err
	}
	res, err := table.Resolve(ctx, s, table.Transaction{
		Txn:        c.Txn,
		Conditions: []table.Condition{{Key: "counter", Version: row.Version}, {Key: marker}},
		Puts:       []table.Put{{Key: "counter", Value: v}, {Key: marker, Value: v}},
	}, marker)
	return res.Committed, err
}

// Guards against a commit that is counted twice or missed when the response is lost before, after or long before the
// effect, or when the store is down or slow.
func TestResolveCountsEachCommitOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{Latency: 2 * time.Millisecond})
		err := s.Faults().Set(
			script.Rule{Action: script.LoseAfter, Kind: store.KindTransact, Client: "0", First: 2, Count: 3},
			script.Rule{Action: script.LoseBefore, Kind: store.KindTransact, Client: "1", First: 1, Count: 2},
			script.Rule{Action: script.LoseLate, Kind: store.KindTransact, First: 5, Count: 20,
				Delay: script.Duration(70 * time.Millisecond)},
			script.Rule{Action: script.Down, Kind: store.KindTransact, Client: "2", First: 10, Count: 4},
			script.Rule{Action: script.Slow, Client: "3", Delay: script.Duration(9 * time.Millisecond)},
		)
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		committed := 0
		for w := range 4 {
			wg.Go(func() {
				client := s.Client(fmt.Sprint(w))
				for i := range 50 {
					ok, err := increment(t.Context(), client, fmt.Sprintf("own/%d/%d", w, i))
					if err != nil && !errors.Is(err, table.ErrUnavailable) {
						t.Errorf("increment: %v", err)
					}
					mu.Lock()
					if ok {
						committed++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		time.Sleep(time.Second) // until the effects of LoseLate have happened
		row, err := table.Get(t.Context(), s, "counter")
		if err != nil {
			t.Fatal(err)
		}
		var c counter
		if err := json.Unmarshal(row.Value, &c); err != nil {
			t.Fatal(err)
		}
		if c.N != committed || committed == 0 {
			t.Errorf("counter is %d after %d reported commits", c.N, committed)
		}
	})
}

// Guards against a partial write when one of several conditions is not met, and against wrong conflicts.
func TestTransactionIsAtomic(t *testing.T) {
	s := store.New(store.Options{})
	ctx := t.Context()
	put := func(key, value string) table.Put { return table.Put{Key: key, Value: json.RawMessage(value)} }
	first, err := s.Transact(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: "a"}}, Puts: []table.Put{put("a", `{"N": 1}`), put("b", "2")},
	})
	if err != nil || !first.Committed || first.Version == 0 {
		t.Fatalf("first transaction: %+v, %v", first, err)
	}
	res, err := s.Transact(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: "a", Version: first.Version}, {Key: "b"}, {Key: "c", Version: 9}},
		Puts:       []table.Put{put("c", "3")}, Deletes: []string{"a"},
	})
	if err != nil || res.Committed || len(res.Conflicts) != 2 {
		t.Fatalf("second transaction: %+v, %v", res, err)
	}
	if res.Conflicts[0].Key != "b" || res.Conflicts[0].Version != first.Version || res.Conflicts[1].Version != 0 {
		t.Errorf("conflicts are %+v", res.Conflicts)
	}
	rows, err := s.Range(ctx, "a", "z", 0)
	if err != nil || len(rows) != 2 || string(rows[0].Value) != `{"N":1}` {
		t.Errorf("rows are %+v, %v", rows, err)
	}
}

// Guards against a store that accepts more writes per second than its limit, which would hide that a design exceeds it.
func TestWriteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{WritesPerSecond: 100, ReadsPerSecond: 1000})
		accepted := 0
		for range 4000 {
			_, err := s.Transact(t.Context(), table.Transaction{Puts: []table.Put{{Key: "k", Value: json.RawMessage("1")}}})
			switch {
			case err == nil:
				accepted++
			case !errors.Is(err, table.ErrRateLimited):
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if accepted < 400 || accepted > 501 { // 4 s at 100 writes/s and a burst of 100
			t.Errorf("%d writes were accepted in 4 s at 100 writes/s", accepted)
		}
		if s.Writes() != uint64(accepted) {
			t.Errorf("%d writes were counted, %d accepted", s.Writes(), accepted)
		}
	})
}

// Guards against a fault that outlasts its duration or affects another client.
func TestFaultForOneClientEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Options{})
		err := s.Faults().Set(script.Rule{Action: script.Down, Client: "a", For: script.Duration(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Client("a").Range(t.Context(), "a", "b", 1); !errors.Is(err, table.ErrUnavailable) {
			t.Errorf("client a: %v", err)
		}
		if err := s.Client("b").PutObject(t.Context(), "o", []byte("x")); err != nil {
			t.Errorf("client b: %v", err)
		}
		time.Sleep(time.Second)
		if b, err := s.Client("a").GetObject(t.Context(), "o"); err != nil || string(b) != "x" {
			t.Errorf("client a after the fault: %q, %v", b, err)
		}
	})
}
