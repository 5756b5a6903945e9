package queues

import "sync/atomic"

// Holder keeps the newest table of a process; it never goes back to a lower version.
type Holder struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force, or nil before the first.
func (h *Holder) Table() *Table { return h.table.Load() }

// Put puts t in force unless a version at least as high is, and reports whether it did.
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
