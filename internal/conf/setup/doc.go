// Package setup loads the settings of a process: its addresses, names and secrets, read from a file once at startup.
package setup
