// Package commit makes the events of a partition durable. It writes journal rows and the head row to the store with
// group commit, writes snapshots, takes over head rows and recovers the state of a partition.
package commit
