// Package lead elects the leader of a cell and schedules the cell's jobs. At most one entry leads at a time, under an
// epoch recorded in the head row of the store. The leader keeps jobs and workers in memory, starts tasks through the
// agents, and commits progress to the store in one transaction at a time, conditional on the version of the head row.
package lead
