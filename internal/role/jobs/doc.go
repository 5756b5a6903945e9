// Package jobs assembles the processes of a cell that runs jobs of steps: the entry, which accepts jobs and may lead
// the cell, and the agent, which executes the leader's commands on the worker of its instance.
package jobs
