// Package event holds the numbered log events; docs/events.md is their catalogue.
package event
