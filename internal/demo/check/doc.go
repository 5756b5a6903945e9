// Package check runs a fixed scenario against the demonstration system and reports which of its promises held.
package check
