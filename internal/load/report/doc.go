// Package report turns the samples of a load run into percentiles over time, goodput and refusals, as JSON and as a page
// with plots, and compares two reports.
package report
