// Package notice defines the announcement by which a target registers with the agent on its machine.
package notice
