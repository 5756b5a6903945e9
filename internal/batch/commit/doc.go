// Package commit makes the events of a partition durable: journal rows and the head row in the store, group commit,
// snapshots, takeover of the head row and recovery.
package commit
