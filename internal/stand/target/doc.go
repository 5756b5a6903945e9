// Package target is the stand-in for a target of a service: an HTTP server with simulated service times that announces
// itself to the agent on its instance.
//
// Each request waits for one of the target's slots, occupies it for the service time of its path and is recorded under
// the request ID in its header. These paths have special responses:
//
//	/echo    the body of the request; with ?trailer=1 its checksum is sent as a trailer
//	/stream  a numbered line every ?interval=100ms, ?count=N times or without end; uses a connection but no slot
//	/long    the response of all other paths, with the long service time
//	/break   half of a body of ?size=65536 bytes, after which the connection is closed
//
// All other paths respond with a JSON object that names the target and the request; ?size=N pads it to over N bytes.
// GET /v1/records returns the requests that ran, and POST /v1/faults sets a fault script whose kinds are paths.
package target
