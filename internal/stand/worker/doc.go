// Package worker is the stand-in for the platform's worker: an implementation of worker.Platform that simulates tasks
// under leases, and its HTTP server.
//
// The command of a task is a list of words separated by spaces:
//
//	run=DURATION            run time, required; for example run=1.5s
//	straggler=FACTOR        run time is FACTOR times as long
//	straggler=FACTOR/EVERY  the same, only for tasks whose index is a multiple of EVERY
//	fail                    the task fails at the end of its run time
//	fail=DURATION           the task fails when it has run for DURATION
//	fail-attempts=N         only attempts up to N fail, at the time set by fail=DURATION or at the end
//	fail-on=WORKER,...      the task fails only on these workers
//	memory=BYTES            memory used, with an optional suffix Ki, Mi or Gi; the declared memory if absent
//	processors=MILLI        processors used, in thousandths; the declared processors if absent
//
// An attempt whose command is malformed fails immediately. While the memory used exceeds that of the worker, the
// attempt that exceeds its declared memory by the most fails, as with an out-of-memory killer.
package worker
