// Package sizes holds the resources of workers and tasks and their arithmetic.
package sizes
