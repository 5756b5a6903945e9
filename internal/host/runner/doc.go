// Package runner is the agent's side of batch work: it starts, renews, stops and reports attempts on the worker beside
// it, for the entries that own the partitions of the tasks.
package runner
