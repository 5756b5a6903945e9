// Package beside keeps the targets that announce themselves to the agent beside them.
package beside
