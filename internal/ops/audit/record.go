package audit

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"time"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Action -trimprefix Action -output action_string.go

// Action is what an operator did.
type Action uint8

// Actions that are recorded.
const (
	ActionAccept Action = iota + 1 // of a configuration
	ActionCancel                   // of a job
	ActionDrain                    // of a worker
	ActionSubmit                   // of a job
)

// MarshalText implements encoding.TextMarshaler.
func (a Action) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An action that a newer version of the program recorded becomes 0,
// so that an older one can still list it.
func (a *Action) UnmarshalText(b []byte) error {
	*a = 0
	for known := ActionAccept; known <= ActionSubmit; known++ {
		if known.String() == string(b) {
			*a = known
		}
	}
	return nil
}

// Record says who changed what, when, and from what to what.
type Record struct {
	ID      string
	Time    time.Time
	Author  string
	Action  Action
	Object  string // what was changed, for example a job or a worker
	Before  string `json:",omitempty"`
	After   string `json:",omitempty"`
	Version uint64 `json:",omitempty"` // of the configuration that the change made
}

const shownHash = 12 // digits; enough to tell versions apart at a glance

var fullHash = regexp.MustCompile(fmt.Sprintf(`\b([0-9a-f]{%d})[0-9a-f]{%d}\b`, shownHash, 2*sha256.Size-shownHash))

// Brief returns the states of r before and after the change as tables show them, with hashes shortened.
func (r Record) Brief() (before, after string) {
	return fullHash.ReplaceAllString(r.Before, "$1"), fullHash.ReplaceAllString(r.After, "$1")
}

// New returns a record of a change at the given time.
func New(at time.Time, author string, action Action, object string) Record {
	return Record{ID: string(ident.NewTxn()), Time: at.UTC(), Author: author, Action: action, Object: object}
}

const (
	prefix = "audit/"
	end    = "audit0" // the key after every key with the prefix
)

// Key returns the row of r. The time counts down, because the store lists rows only in ascending order and the newest
// records are wanted first.
func (r Record) Key() string {
	return fmt.Sprintf("%s%019d/%s", prefix, math.MaxInt64-r.Time.UnixNano(), r.ID)
}

// Put returns the write of r for the transaction of the change.
func (r Record) Put() (table.Put, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return table.Put{}, fmt.Errorf("encode audit record: %w", err)
	}
	return table.Put{Key: r.Key(), Value: b}, nil
}
