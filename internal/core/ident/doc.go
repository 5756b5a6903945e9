// Package ident holds the identities that all parts of the system share: tasks, jobs, partitions, epochs, attempts and
// incarnations of processes.
package ident
