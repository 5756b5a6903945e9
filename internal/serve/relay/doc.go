// Package relay implements the agent side of serving: it forwards requests from session streams to targets over
// net/http and returns the responses. It reports NotRun only if no byte of the request was written to a target.
package relay
