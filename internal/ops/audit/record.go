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

// Action is the kind of change that an operator made.
type Action uint8

// Actions recorded in the audit log.
const (
	ActionAccept Action = iota + 1 // acceptance of a configuration
	ActionCancel                   // cancellation of a job
	ActionDrain                    // drain of a worker
	ActionSubmit                   // submission of a job
)

// MarshalText implements encoding.TextMarshaler.
func (a Action) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown action, which a newer version of the program recorded,
// is decoded as 0, so that older versions can still list the record.
func (a *Action) UnmarshalText(b []byte) error {
	*a = 0
	for known := ActionAccept; known <= ActionSubmit; known++ {
		if known.String() == string(b) {
			*a = known
		}
	}
	return nil
}

// Record describes one change: who made it, when, and the state before and after.
type Record struct {
	ID      string
	Time    time.Time
	Author  string
	Action  Action
	Object  string // what was changed, such as job/ID or worker/NAME
	Before  string `json:",omitempty"`
	After   string `json:",omitempty"`
	Version uint64 `json:",omitempty"` // configuration version that the change created
}

const shortHash = 12 // hex digits; enough to distinguish versions at a glance

var fullHash = regexp.MustCompile(fmt.Sprintf(`\b([0-9a-f]{%d})[0-9a-f]{%d}\b`, shortHash, 2*sha256.Size-shortHash))

// Brief returns Before and After with hashes shortened, so that they fit into a table.
func (r Record) Brief() (before, after string) {
	return fullHash.ReplaceAllString(r.Before, "$1"), fullHash.ReplaceAllString(r.After, "$1")
}

// New returns a record, with a unique ID, of a change at the given time.
func New(at time.Time, author string, action Action, object string) Record {
	return Record{ID: string(ident.NewTxn()), Time: at.UTC(), Author: author, Action: action, Object: object}
}

const (
	keyPrefix = "audit/"
	keyEnd    = "audit0" // the first key after all keys with keyPrefix
)

// Key returns the store key of r. It contains math.MaxInt64 minus the time in ns since 1970, because the store lists
// rows only in ascending order and List returns the newest records first.
func (r Record) Key() string {
	return fmt.Sprintf("%s%019d/%s", keyPrefix, math.MaxInt64-r.Time.UnixNano(), r.ID)
}

// Put returns the write that adds r to the transaction of the change.
func (r Record) Put() (table.Put, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return table.Put{}, fmt.Errorf("encode audit record: %w", err)
	}
	return table.Put{Key: r.Key(), Value: b}, nil
}
