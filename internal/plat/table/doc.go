// Package table is the client of the platform's store: conditional transactions over rows, range reads and objects.
package table
