// Package place chooses workers for tasks: room from aging hints with optimistic reservations, spread over racks, order
// between teams, quotas, and the distinction between a bad job and a bad worker.
package place
