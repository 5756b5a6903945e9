// Package place assigns tasks to workers. It estimates free capacity from hints and optimistic reservations, spreads
// jobs over racks, orders the jobs of teams fairly within quotas, and distinguishes failing jobs from failing workers.
package place
