// Package target is the stand-in for a back end of a service: an HTTP service with stated service times that announces
// itself to the agent beside it.
//
// Every request that runs waits for one of the target's slots, holds it for the service time of its path and is
// recorded under the identity in its header. These paths respond in their own way:
//
//	/echo    the body of the request; with ?trailer=1 its checksum comes in a trailer
//	/stream  one numbered line each ?interval=100ms, ?count=N times or without end; holds a connection but no slot
//	/long    as any other path, but with the long service time
//	/break   half of a body of ?size=65536 bytes, then the connection breaks off
//
// All other paths respond with a JSON object that names the target and the request; ?size=N pads it to at least N
// bytes. GET /v1/records returns what ran, and POST /v1/faults sets a fault script whose kinds are paths.
package target
