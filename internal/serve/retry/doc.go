// Package retry bounds repeated attempts: a budget as a share of first tries, and exponential backoff with full jitter.
package retry
