// Package ident defines the identifiers that are shared between packages, such as those of tasks, jobs, partitions,
// epochs, attempts and process incarnations.
package ident
