// Package runs implements driver.Worker in memory for tests. It runs tasks under one lease, rejects commands with an
// outdated fencing token, can execute commands late or lose their responses, and records every run for later checks.
// It also accepts starts beyond its capacity, and lists them in Overcommitted.
package runs
