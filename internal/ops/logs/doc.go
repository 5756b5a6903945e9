// Package logs writes log lines in the background without blocking the caller: lines are queued in a bounded ring
// buffer, and lines that do not fit are dropped and counted.
package logs
