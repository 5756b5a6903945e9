// Package whole runs the whole system in one process on loopback: stand-ins of the platform, targets, agents and
// entries, joined by real sockets.
package whole
