// Package logs writes log lines without ever blocking the goroutine that logs: lines wait in a bounded ring, and those
// that find it full are dropped and counted.
package logs
