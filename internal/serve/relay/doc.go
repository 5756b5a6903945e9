// Package relay is the agent side of serving: it forwards a request from a stream to a target over net/http and the
// response back. It refuses only before the first byte to the target, so that NotRun is always true.
package relay
