// Package agent assembles the agent, the process beside the targets and tasks of one worker.
package agent
