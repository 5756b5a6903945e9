// Package jobs assembles the processes of a cell that runs jobs of steps: the entry, which accepts jobs and may lead the
// cell, and the agent, which carries out the leader's orders beside one worker.
package jobs
