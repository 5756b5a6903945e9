// Package spec holds the description of a job of steps as its caller submitted it: steps, tasks, sizes and conditions.
// It has no state of execution.
package spec
