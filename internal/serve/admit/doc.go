// Package admit decides at an entry whether a request of a service may start, waits in a short queue, or is refused at
// once because it could not complete before its deadline.
package admit
