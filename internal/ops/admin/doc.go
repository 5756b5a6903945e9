// Package admin is the administration API: configuration, jobs, audit, status and drain over HTTP with bearer tokens.
package admin
