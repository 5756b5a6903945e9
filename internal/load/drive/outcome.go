package drive

import "time"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Outcome -output outcome_string.go

// Outcome is what became of a request, as its caller sees it.
type Outcome uint8

// Outcomes of requests.
const (
	Complete Outcome = iota // the whole answer to this request, with a status below 400
	Failed                  // a whole answer with a status of 400 or higher
	NotRun                  // refused
	Unknown                 // the system does not know whether the request ran
	Broken                  // the connection or the response broke off
	Wrong                   // the answer is that of another request, or does not match its checksum
	Timeout                 // no answer within deadline and patience
	NotSent                 // the load generator had its highest number of requests in flight
)

// Outcomes is the number of outcomes.
const Outcomes = int(NotSent) + 1

// Sample is the measurement of one request.
type Sample struct {
	Service int           // index in Experiment.Services
	Request int           // index in Service.Requests
	At      time.Duration // scheduled arrival since the start
	Latency time.Duration // from the scheduled arrival to the end of the answer, or to its first byte for a stream
	Outcome Outcome
}
