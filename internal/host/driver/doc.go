// Package driver executes the commands of a cell's leader on one worker: it starts and stops runs, renews the worker's
// lease within the leader's grants, reports ended runs until the leader has persisted them, and limits the processor
// share (pace) of best-effort tasks that interfere with serving tasks.
package driver
