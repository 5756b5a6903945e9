// Package intake accepts jobs from callers on an entry: it stores them, notifies the leader of the cell, and serves
// queries about them from the leader or, without one, from the store.
package intake
