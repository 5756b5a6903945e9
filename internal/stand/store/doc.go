// Package store is the stand-in for the platform's transactional store: an in-memory implementation of table.Store with
// rate limits and injected faults, and its HTTP server.
package store
