// Package worker is the client of the platform's worker, which runs batch tasks under leases.
package worker
