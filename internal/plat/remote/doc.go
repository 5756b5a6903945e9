// Package remote is the HTTP client for the platform's services; its errors state whether a failed request may have
// reached the service.
package remote
