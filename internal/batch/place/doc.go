// Package place assigns tasks to workers. It estimates free capacity from hints, which may be outdated, and optimistic
// reservations, spreads jobs over racks, orders the jobs of teams fairly within quotas, and distinguishes bad jobs from
// bad workers.
package place
