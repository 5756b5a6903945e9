// Package interf limits the interference of batch tasks with the services on the same worker. It learns how much each
// job class slows each service, and throttles or evicts tasks while the tail latency of a service is above its bound.
package interf
