// Package owner manages the batch partitions that an entry owns: it takes them over, accepts jobs, places and starts
// tasks, grants agent leases, records results, and hands partitions over.
//
// The argument that a task never runs on two workers at once has five points; see section 8 of docs/design.md. This
// package implements three of them: point 3 in leaseTable.grant and leaseTable.grantStart, point 4 in partition.release
// and partition.reconcile, and point 5 in partition.sendStart. The worker and the agent implement points 1 and 2.
package owner
