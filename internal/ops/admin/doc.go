// Package admin implements the administration API: configuration, jobs, audit log, status and draining of workers over
// HTTP, authorized by bearer tokens.
package admin
