// Package sess implements authenticated sessions between two processes, with one-way messages, streams with flow
// control and an estimate of the offset between the two clocks.
package sess
