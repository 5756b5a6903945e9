// Package owner owns partitions of batch work on an entry: it takes them over, accepts jobs, places and starts tasks,
// grants leases, records results, and hands partitions over.
//
// A task never runs in two places at once because of the five points of docs/design.md, section 8. The code carries them
// here: point 3 in book.grant and book.grantStart, point 4 in partition.release and partition.reconcile, point 5 in
// partition.sendStart. Points 1 and 2 are the worker's and the agent's.
package owner
