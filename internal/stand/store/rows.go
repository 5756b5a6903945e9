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

// rows is the content of the table. It is not safe for concurrent use.
type rows struct {
	seq   uint64   // version of the last committed transaction
	keys  []string // sorted
	byKey map[string]table.Row
}

// transact applies t atomically if all its conditions are met; otherwise it returns the rows in conflict.
func (r *rows) transact(t table.Transaction) table.Result {
	var conflicts []table.Row
	for _, c := range t.Conditions {
		if row := r.byKey[c.Key]; row.Version != c.Version {
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
	if _, ok := r.byKey[row.Key]; !ok {
		i := sort.SearchStrings(r.keys, row.Key)
		r.keys = slices.Insert(r.keys, i, row.Key)
	}
	r.byKey[row.Key] = row
}

func (r *rows) remove(key string) {
	if _, ok := r.byKey[key]; !ok {
		return
	}
	i := sort.SearchStrings(r.keys, key)
	r.keys = slices.Delete(r.keys, i, i+1)
	delete(r.byKey, key)
}

// scan returns up to limit rows with from <= key < to in order of their keys; a limit of 0 means no limit.
func (r *rows) scan(from, to string, limit int) []table.Row {
	var list []table.Row
	for i := sort.SearchStrings(r.keys, from); i < len(r.keys) && r.keys[i] < to; i++ {
		if limit > 0 && len(list) == limit {
			break
		}
		row := r.byKey[r.keys[i]]
		row.Value = slices.Clone(row.Value)
		list = append(list, row)
	}
	return list
}

// normalize validates t and returns a deep copy with compacted JSON values, so that direct calls and calls over HTTP
// store the same bytes.
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
