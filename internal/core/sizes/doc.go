// Package sizes defines amounts of resources of workers and tasks, and arithmetic on them.
package sizes
