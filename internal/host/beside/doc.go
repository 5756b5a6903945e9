// Package beside tracks the targets that announce themselves to the agent on their machine.
package beside
