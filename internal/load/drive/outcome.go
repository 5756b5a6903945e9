package drive

import "time"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Outcome -output outcome_string.go

// Outcome classifies the result of a request as its caller observes it.
type Outcome uint8

// Outcomes of requests.
const (
	Complete Outcome = iota // a complete response to this request with a status below 400
	Failed                  // a complete response with a status of 400 or higher
	NotRun                  // the system refused the request without running it
	Unknown                 // the system reported that it does not know whether the request ran
	Broken                  // the connection failed, the response was cut off, or the run was canceled
	Wrong                   // the response belongs to another request or does not match its checksum
	Timeout                 // no complete response within Deadline plus Patience
	NotSent                 // the load generator already had MaxInFlight requests in flight
)

// Outcomes is the number of Outcome values.
const Outcomes = int(NotSent) + 1

// Sample is the measurement of one request.
type Sample struct {
	Service int           // index in Experiment.Services
	Request int           // index in Service.Requests
	At      time.Duration // scheduled arrival, relative to the start of the run
	Latency time.Duration // from the scheduled arrival to the end of the response or first byte of a stream; 0 if NotSent
	Outcome Outcome
}
