// Package queues holds the configuration of job queues as the entries apply it: the queues, the services that run their
// tasks and the limits of callers' connections.
package queues
