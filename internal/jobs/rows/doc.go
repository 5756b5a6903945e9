// Package rows declares the row store in which jobs are persisted, and the layout of the rows that entries, leaders and
// agents write.
package rows
