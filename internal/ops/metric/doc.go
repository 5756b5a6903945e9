// Package metric records and exposes the metrics of a process; docs/metrics.md lists them.
package metric
