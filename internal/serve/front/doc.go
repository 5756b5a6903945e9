// Package front is the callers' listener of an entry: it parses requests, admits them, claims keys, routes them to
// agents or to entries of other zones, and passes whole responses back.
package front
