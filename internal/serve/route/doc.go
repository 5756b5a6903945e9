// Package route selects the target of a request by reported load hints, which decay with age, and by measurements of
// this entry.
package route
