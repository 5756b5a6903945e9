// Package wire holds every message that the system's processes send each other, encoded with msgpack as arrays.
package wire
