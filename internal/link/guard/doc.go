// Package guard bounds what clients that nobody controls can make a process hold: connections, descriptors, and bytes of
// requests and responses. When a limit is reached it closes the connections that hold the most and progress the least.
package guard
