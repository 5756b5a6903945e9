// Package script implements the fault scripts of the stand-ins: rules that refuse calls, delay them or lose their
// responses, selected by client and by kind of call.
package script
