// Package part implements the state of one partition of batch work: jobs, shares and tasks, the events that change them
// and the rules that refuse an event. It does no I/O; the journal of events is the durable form of a partition.
package part
