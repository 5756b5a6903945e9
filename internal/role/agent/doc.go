// Package agent assembles the agent, the process that runs on each worker next to its targets and tasks.
package agent
