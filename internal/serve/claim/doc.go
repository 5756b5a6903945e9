// Package claim makes sure that a non-idempotent request with a key runs at most once, over all entries, by one durable
// row for each key.
package claim
