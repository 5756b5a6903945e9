// Package host is the process scaffolding that all stand-ins share: it loads and validates settings and serves HTTP
// until a graceful shutdown.
package host
