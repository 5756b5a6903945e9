// Package inproc runs the whole system in one process on loopback: stand-ins for the platform, targets, agents and
// entries, which communicate over real sockets.
package inproc
