// Package lead schedules the jobs of a cell: one entry leads the cell at a time, under an epoch that the head row in
// the store decides. The leader keeps jobs and workers in memory, starts tasks through the agents, and writes progress
// to the store in one transaction at a time, on condition of the head row.
package lead
