// Package entry assembles the entry, the process behind the balancer that serves callers, owns partitions of batch work,
// distributes the configuration and offers the administration API.
package entry
