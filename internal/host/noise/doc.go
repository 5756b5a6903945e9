// Package noise keeps batch tasks from slowing the services beside them on one worker. It learns how much each job class
// slows each service, and throttles or evicts tasks while the tail of a service is above its bound.
package noise
