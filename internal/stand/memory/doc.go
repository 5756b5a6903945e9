// Package memory implements rows.Store in memory for tests, with faults that refuse, delay or lose requests.
package memory
