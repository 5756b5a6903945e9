// Package rows declares the store of rows in which jobs last, and the layout of the rows that entries and agents keep
// there.
package rows
