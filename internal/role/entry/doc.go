// Package entry assembles the entry, the process behind the load balancer that serves callers, owns partitions of batch
// work, distributes the configuration and serves the administration API.
package entry
