package notice

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/remote"
)

// Path is the URL path to which a target sends its announcement by POST.
const Path = "/v1/announce"

// Period is the interval between announcements of a target.
const Period = 500 * time.Millisecond

// RequestHeader is the name of the HTTP request header with the request ID, which a target may record.
const RequestHeader = "Trefoilramp-Request"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type State -output state_string.go

// State is the state that a target announces.
type State int

// States of targets.
const (
	Ready   State = iota + 1
	Leaving       // accepts no new requests
)

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state and returns an error for an unknown one.
func (s *State) UnmarshalText(b []byte) error {
	for c := Ready; c <= Leaving; c++ {
		if c.String() == string(b) {
			*s = c
			return nil
		}
	}
	return errors.Newf("state %q is neither Ready nor Leaving", b)
}

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Target      string
	Service     string
	Address     string // host:port where the target accepts requests
	Slots       int64  // requests that it can run concurrently
	Connections int64  // open connections, including streams that occupy no slot
	State       State
}

// Validate returns an error for the first invalid field.
func (a Announcement) Validate() error {
	switch {
	case !ident.IsName(a.Target):
		return errors.Newf("Target %q is no name", a.Target)
	case !ident.IsName(a.Service):
		return errors.Newf("Service %q is no name", a.Service)
	case a.Slots <= 0 || a.Connections < a.Slots:
		return errors.Newf("Slots %d is not positive or exceeds Connections %d", a.Slots, a.Connections)
	case a.State != Ready && a.State != Leaving:
		return errors.Newf("State is neither Ready nor Leaving")
	}
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil || host == "" || port == "" || port == "0" {
		return errors.Newf("Address %q is not of the form HOST:PORT", a.Address)
	}
	return nil
}

// Send sends an announcement to the agent of c; the error states whether the agent rejected it or could not be
// reached.
func Send(ctx context.Context, c *remote.Client, a Announcement) error {
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	res, err := c.Do(ctx, http.MethodPost, Path, b)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	if res.Status >= http.StatusMultipleChoices {
		return errors.Newf("announce: the agent responded with status %d", res.Status)
	}
	return nil
}
