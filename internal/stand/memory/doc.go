// Package memory is a store of rows in memory, for tests: it keeps the promises of rows.Store and can lose, delay and
// refuse requests.
package memory
