// Package intake accepts jobs from callers on an entry: it stores them, tells the leader of the cell, and answers
// questions about them from the leader or, without one, from the store.
package intake
