// Package drive generates load for an experiment: an open loop whose arrivals are fixed in advance from a seed, with
// latency measured from the scheduled arrival, so that a slow system cannot hide by slowing down its callers.
package drive
