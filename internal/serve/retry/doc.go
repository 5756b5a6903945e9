// Package retry limits retries by a budget relative to first tries and by exponential backoff with full jitter.
package retry
