// Package store is the stand-in for the platform's transactional store: a Go object with budgets and faults, and its
// HTTP server.
package store
