// Package impact estimates the interference of best-effort tasks with the serving tasks on the same worker, per pair of
// images, and computes the share of full speed at which best-effort tasks may run.
package impact
