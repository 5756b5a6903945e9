// Package setup holds the settings of a process: its addresses, names and secrets, read once from a file at the start.
package setup
