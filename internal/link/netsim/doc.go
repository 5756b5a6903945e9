// Package netsim provides a TCP relay for tests and measurements that delays, pauses and closes connections by script.
package netsim
