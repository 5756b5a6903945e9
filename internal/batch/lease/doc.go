// Package lease computes the deadlines of the owner lease and the agent lease. All times are readings of one process's
// monotonic clock, which time.Now includes; the two sides of a lease never compare their clocks.
package lease
