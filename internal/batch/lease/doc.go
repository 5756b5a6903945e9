// Package lease holds the arithmetic of the owner lease and the agent lease. All times are on one process's monotonic
// clock, as time.Now carries it; the two sides of a lease never compare their clocks.
package lease
