// Package claim runs a non-idempotent request with an idempotency key at most once across all entries, by a durable
// row for each key.
package claim
