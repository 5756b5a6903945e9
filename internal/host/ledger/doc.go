// Package ledger holds the one account of what a worker's resources are given to; only the agent beside the worker
// writes it.
package ledger
