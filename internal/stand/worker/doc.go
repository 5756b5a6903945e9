// Package worker is the stand-in for the platform's worker: a Go object that runs simulated tasks under leases, and its
// HTTP server.
//
// The command of a task is a list of words separated by spaces:
//
//	run=DURATION            run time, required; for example run=1.5s
//	straggler=FACTOR        run time is FACTOR times as long
//	straggler=FACTOR/EVERY  the same for tasks whose index is a multiple of EVERY only
//	fail                    the task fails at the end of its run time
//	fail=DURATION           the task fails when it has run for DURATION
//	fail-attempts=N         attempts up to N fail, at the time that fail gives or at the end
//	fail-on=WORKER,...      the task fails on these workers only
//	memory=BYTES            memory actually used, with an optional suffix Ki, Mi or Gi; the declared memory if absent
//	processors=MILLI        processors actually used, in thousandths; the declared processors if absent
//
// An attempt whose command is malformed fails at once. When the memory actually used exceeds that of the worker, the
// attempt that exceeds its declared memory by the most fails.
package worker
