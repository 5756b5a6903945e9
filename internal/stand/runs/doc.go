// Package runs is a worker in memory, for tests: it starts whatever it is told under one lease, lists runs and ends, obeys
// the highest fencing token, and may carry out orders late. It records what a checker needs.
package runs
