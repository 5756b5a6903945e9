// Package worker is the client of the platform's workers, which run batch tasks under leases.
package worker
