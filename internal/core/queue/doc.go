// Package queue holds the bounded ring that joins goroutines, each of which has one duty.
package queue
