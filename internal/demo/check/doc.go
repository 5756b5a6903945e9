// Package check runs a fixed scenario against the demonstration and reports which promises held.
package check
