package queues

import "sync/atomic"

// Holder holds the table in force in a process, whose version only increases; it is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force, or nil before the first Put.
func (h *Holder) Table() *Table { return h.table.Load() }

// Put makes t the table in force if its version is higher than that of the current table, and reports whether it did.
func (h *Holder) Put(t *Table) bool {
	for {
		old := h.table.Load()
		if old != nil && old.Document.Version >= t.Document.Version {
			return false
		}
		if h.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
