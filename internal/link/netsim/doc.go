// Package netsim provides a TCP relay for tests and measurements that delays, pauses or drops bytes and closes or
// rejects connections by script.
package netsim
