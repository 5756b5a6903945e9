// Package part is the aggregate of one partition of batch work: jobs, shares and tasks, the events that change them and
// the rules that refuse an event. It does no input or output; the journal of events is the durable form of a partition.
package part
