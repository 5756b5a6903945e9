// Package remote sends requests to the platform's HTTP services and states whether a failed one may have arrived.
package remote
