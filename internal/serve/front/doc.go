// Package front implements the HTTP handler for callers of an entry: it parses and admits requests, claims idempotency
// keys, routes requests to agents or to entries of other zones, and returns the responses.
package front
