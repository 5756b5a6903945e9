// Package runner executes batch tasks for the agent: it starts, renews, stops and reports attempts on the local worker
// on behalf of the entries that own the partitions of the tasks.
package runner
