// Package target tracks the targets that announce themselves to the agent on their machine.
package target
