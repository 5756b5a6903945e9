// Package wire defines all messages between the system's processes. They are encoded with msgpack, with structs as
// arrays.
package wire
