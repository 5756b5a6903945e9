package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// rows is the table; its user holds the lock.
type rows struct {
	seq  uint64 // of the last committed transaction
	keys []string
	byID map[string]table.Row
}

func (r *rows) transact(t table.Transaction) table.Result {
	var conflicts []table.Row
	for _, c := range t.Conditions {
		if row := r.byID[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			row.Value = slices.Clone(row.Value)
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return table.Result{Conflicts: conflicts}
	}
	r.seq++
	for _, key := range t.Deletes {
		r.remove(key)
	}
	for _, p := range t.Puts {
		r.put(table.Row{Key: p.Key, Value: p.Value, Version: r.seq})
	}
	res := table.Result{Committed: true}
	if len(t.Puts) > 0 {
		res.Version = r.seq
	}
	return res
}

func (r *rows) put(row table.Row) {
	if _, ok := r.byID[row.Key]; !ok {
		i := sort.SearchStrings(r.keys, row.Key)
		r.keys = slices.Insert(r.keys, i, row.Key)
	}
	r.byID[row.Key] = row
}

func (r *rows) remove(key string) {
	if _, ok := r.byID[key]; !ok {
		return
	}
	i := sort.SearchStrings(r.keys, key)
	r.keys = slices.Delete(r.keys, i, i+1)
	delete(r.byID, key)
}

func (r *rows) scan(from, to string, limit int) []table.Row {
	var list []table.Row
	for i := sort.SearchStrings(r.keys, from); i < len(r.keys) && r.keys[i] < to; i++ {
		if limit > 0 && len(list) == limit {
			break
		}
		row := r.byID[r.keys[i]]
		row.Value = slices.Clone(row.Value)
		list = append(list, row)
	}
	return list
}

// normalize checks t and returns a copy whose values share no memory with it and have the form that they have after a
// way through JSON, so that direct use and use over HTTP give the same bytes.
func normalize(t table.Transaction) (table.Transaction, error) {
	seen := make(map[string]bool)
	puts := make([]table.Put, 0, len(t.Puts))
	for _, p := range t.Puts {
		if p.Key == "" || seen[p.Key] {
			return t, errors.Newf("key %q is empty or written twice", p.Key)
		}
		seen[p.Key] = true
		var b bytes.Buffer
		if err := json.Compact(&b, p.Value); err != nil {
			return t, fmt.Errorf("value of %q: %w", p.Key, err)
		}
		puts = append(puts, table.Put{Key: p.Key, Value: b.Bytes()})
	}
	for _, key := range t.Deletes {
		if key == "" || seen[key] {
			return t, errors.Newf("key %q is empty or written twice", key)
		}
		seen[key] = true
	}
	t.Puts = puts
	t.Conditions = slices.Clone(t.Conditions)
	t.Deletes = slices.Clone(t.Deletes)
	return t, nil
}
