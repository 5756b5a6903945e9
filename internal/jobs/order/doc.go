// Package order decides in which order waiting jobs get capacity when it does not suffice for all of them, and which of
// them may begin. It learns how actual run times differ from declared ones. It has no network and no clock; the leader
// of a cell (jobs/lead) calls it in each scheduling pass.
package order
