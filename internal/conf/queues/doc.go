// Package queues defines the configuration of job queues that entries apply: the queues, the services that run their
// tasks and the limits for callers' requests and connections.
package queues
