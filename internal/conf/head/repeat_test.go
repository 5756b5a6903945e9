package head_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// pausingStore pauses after each read.
type pausingStore struct {
	table.Store
	pause time.Duration
}

func (p pausingStore) Range(ctx context.Context, from, to string, limit int) ([]table.Row, error) {
	rows, err := p.Store.Range(ctx, from, to, limit)
	time.Sleep(p.pause)
	return rows, err
}

// Guards against a repeated change that is refused, as if another operator had been faster, because its own first
// attempt had no response and was executed late.
func TestRepeatOfUnansweredChange(t *testing.T) {
	for _, c := range []struct {
		name        string
		wait, pause time.Duration
	}{
		{"executed before the repeat", 10 * time.Second, 0},
		{"executed after the repeat has read the head row", 0, 10 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := store.New(store.Options{})
			late := script.Rule{Action: script.LoseLate, Kind: store.KindTransact, Count: 1, Delay: script.Duration(2 * time.Second)}
			if err := s.Faults().Set(late); err != nil {
				t.Fatal(err)
			}
			change := head.Change{Author: "amina", Document: model.Default()}
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			if _, err := head.New(s, head.Options{}).Accept(ctx, change); !errors.Is(err, table.ErrUnknown) {
				t.Fatalf("%s: first attempt: %v, want an unknown outcome", c.name, err)
			}
			time.Sleep(c.wait)
			h := head.New(pausingStore{s, c.pause}, head.Options{})
			if got, err := h.Accept(t.Context(), change); err != nil || got.Version != 1 || h.Version() != 1 {
				t.Errorf("%s: repeat: %+v, %v, want version 1", c.name, got, err)
			}
			time.Sleep(time.Minute)
			var conflict *head.ConflictError
			other := change
			other.Author = "yusuf"
			if _, err := h.Accept(t.Context(), other); !errors.As(err, &conflict) || conflict.Earlier != 0 {
				t.Errorf("%s: the same change by another operator: %v, want a conflict", c.name, err)
			}
			accept(t, h, 1)
			if _, err := h.Accept(t.Context(), change); !errors.As(err, &conflict) || conflict.Earlier != 1 || conflict.Actual.Version != 2 {
				t.Errorf("%s: repeat after version 2: %+v, want a conflict that names version 1", c.name, err)
			}
			if list, err := (audit.Log{Store: s}).List(t.Context(), time.Time{}, audit.MaxList); err != nil || len(list) != 2 {
				t.Errorf("%s: %d audit records, %v, want one for each version", c.name, len(list), err)
			}
		})
	}
}
