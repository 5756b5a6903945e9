// Package admit is the admission control of an entry: it starts a request, queues it briefly, or refuses it at once
// when it cannot complete before its deadline.
package admit
