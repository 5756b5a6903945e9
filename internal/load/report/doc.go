// Package report summarizes the samples of a load run as latency percentiles over time, goodput and refusals. It writes
// reports as JSON and as an HTML page with plots, and compares two reports.
package report
