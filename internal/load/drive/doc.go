// Package drive is an open-loop load generator. It computes all arrivals of an experiment in advance from a seed and
// measures latency from the scheduled arrival, so that the results are free of coordinated omission: a slow system does
// not reduce the offered load or hide queueing delay.
package drive
