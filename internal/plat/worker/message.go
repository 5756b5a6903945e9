package worker

import "github.com/cockroachdb/errors"

// TasksResponse is the body of a response to GET /v1/tasks.
type TasksResponse struct {
	Tasks []Status
}

// RenewRequest is the body of POST /v1/tasks/renew.
type RenewRequest struct {
	Renewals []Renewal
}

// RenewResponse is the body of a response to POST /v1/tasks/renew.
type RenewResponse struct {
	Refused []Ref
}

// StopRequest is the body of POST /v1/tasks/stop.
type StopRequest struct {
	Ref
	Forget bool
}

// CheckpointRequest is the body of POST /v1/tasks/checkpoint.
type CheckpointRequest struct {
	Ref
	Stop bool
}

// ThrottleRequest is the body of POST /v1/tasks/throttle.
type ThrottleRequest struct {
	Ref
	Processors int64 // thousandths of a processor; 0 for no limit
}

// ErrorResponse is the body of a response with a status of 400 or higher.
type ErrorResponse struct {
	Error    string
	Code     string // as returned by Code
	NoEffect bool   // the request has not taken effect and never will
}

var errorsByCode = map[string]error{
	"Unavailable": ErrUnavailable,
	"Malformed":   ErrMalformed,
	"NotFound":    ErrNotFound,
	"Expired":     ErrExpired,
	"Seen":        ErrDuplicate,
	"Superseded":  ErrSuperseded,
	"Busy":        ErrBusy,
	"TooLarge":    ErrTooLarge,
	"Store":       ErrStore,
}

// Code returns the code of err in an ErrorResponse, or an empty string for an error without a code.
func Code(err error) string {
	for code, e := range errorsByCode {
		if errors.Is(err, e) {
			return code
		}
	}
	return ""
}
