// Package event defines the numbered log events, of which docs/events.md is the published catalogue.
package event
