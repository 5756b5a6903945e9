// Package relay is a TCP relay for tests and measurements that delays, pauses and cuts connections by script.
package relay
