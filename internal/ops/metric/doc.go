// Package metric holds the metrics of a process; docs/metrics.md is their catalogue.
package metric
