// Package point names the steps of the protocols between processes, at which tests can inject faults.
package point
