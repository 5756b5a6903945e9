// Package spec defines a job as its caller submitted it: steps, tasks, sizes and constraints. It holds no execution
// state.
package spec
