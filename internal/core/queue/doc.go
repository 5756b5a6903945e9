// Package queue provides a bounded queue that connects goroutines, each of which has a single responsibility.
package queue
