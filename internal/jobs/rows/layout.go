package rows

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"trefoilramp.org/trefoilramp/internal/jobs/spec"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// intakeParts is the number of parts over which accepted and cancelled jobs are spread. The store runs the transactions
// of a part one at a time, which limits the rate of a slow store.
const intakeParts = 8

// Tables. The head, progress, agents and restarts of a cell are in the part named after the cell, so that the leader can write
// them in one transaction.
const (
	Heads    = "Heads"    // one row per cell: its leader
	Jobs     = "Jobs"     // accepted jobs, written by entries
	Cancels  = "Cancels"  // cancelled jobs, written by entries
	Progress = "Progress" // state of jobs, written by the leader
	Agents   = "Agents"   // agents and their addresses, written by agents and deleted by the leader
	Restarts = "Restarts" // workers that have restarted under their ID lately, by agent, written by the leader
)

// HeadKey is the key of a cell's head row.
const HeadKey = "Head"

// Head names the leader of a cell.
type Head struct {
	Leader  string // name of the entry; empty after a handover
	Address string // address at which the entry accepts sessions
	Epoch   uint64 // incremented by each takeover
	Write   uint64 // incremented by each write; identifies a write whose response was lost
}

// Agent names the address at which an agent accepts sessions.
type Agent struct {
	Name        string
	Zone        string
	Address     string
	Incarnation string
}

// Restart marks an agent whose worker may have a lease from a call to a former incarnation of the same ID.
type Restart struct {
	Worker string // ID of the worker
}

// State is the state of a job.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Done
	Failed
	Cancelled
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type State -output state_string.go

// IsFinal reports whether the state is final: done, failed or cancelled.
func (s State) IsFinal() bool { return s >= Done }

// TaskProgress is the durable progress of a task that is not done.
type TaskProgress struct {
	Task       int    // ordinal in the job
	Failed     []int  // numbers of the last runs that ended in failure
	Checkpoint string `msgpack:"Saved"`
	// FailedBefore is the number of failed runs before those in Failed.
	FailedBefore int
}

// JobProgress is a page of the durable progress of a job, as the leader writes it. Only page 0 has a state and Done.
type JobProgress struct {
	State  State
	EndsAt int64          // wall-clock time of the final state, ms since 1970
	Done   []byte         // one bit per task, by ordinal
	Tasks  []TaskProgress `msgpack:"Notes"`
}

// intakePart returns the part that holds a job's rows in the tables Jobs and Cancels.
func intakePart(cell string, id spec.ID) string {
	return cell + "-" + strconv.FormatUint(xxhash.Sum64String(string(id))%intakeParts, 10)
}

// IntakeParts returns the parts of the tables Jobs and Cancels.
func IntakeParts(cell string) []string {
	list := make([]string, intakeParts)
	for i := range list {
		list[i] = cell + "-" + strconv.Itoa(i)
	}
	return list
}

// JobRef returns the row of an accepted job.
func JobRef(cell string, id spec.ID) Ref { return Ref{Jobs, intakePart(cell, id), string(id)} }

// CancelRef returns the row that marks a job as cancelled.
func CancelRef(cell string, id spec.ID) Ref { return Ref{Cancels, intakePart(cell, id), string(id)} }

// ProgressRef returns the row of a job's progress; the state of the job is in it.
func ProgressRef(cell string, id spec.ID) Ref { return Ref{Progress, cell, string(id)} }

// pageSeparator separates the job and the page in the key of a progress row.
const pageSeparator = "."

// ProgressPageRef returns the row of a page of a job's progress; page 0 is that of ProgressRef.
func ProgressPageRef(cell string, id spec.ID, page int) Ref {
	r := ProgressRef(cell, id)
	if page > 0 {
		r.Key += pageSeparator + strconv.Itoa(page)
	}
	return r
}

// SplitProgressKey returns the job and the page of the key of a progress row; the page is -1 if it is malformed.
func SplitProgressKey(key string) (spec.ID, int) {
	id, number, hasPage := strings.Cut(key, pageSeparator)
	if !hasPage {
		return spec.ID(id), 0
	}
	page, err := strconv.Atoi(number)
	if err != nil || page < 1 {
		return spec.ID(id), -1
	}
	return spec.ID(id), page
}

// HeadRef returns the head row of a cell.
func HeadRef(cell string) Ref { return Ref{Heads, cell, HeadKey} }

// AgentRef returns the row of an agent.
func AgentRef(cell, name string) Ref { return Ref{Agents, cell, name} }

// RestartRef returns the row of a restart of an agent's worker.
func RestartRef(cell, agent string) Ref { return Ref{Restarts, cell, agent} }

// One returns the span that contains only this row.
func (r Ref) One() Span {
	return Span{Table: r.Table, Part: r.Part, From: r.Key, To: r.Key + "\x00", Limit: 1}
}

// Encode returns the msgpack form of a row's value.
func Encode(v any) ([]byte, error) { return wire.Pack(v) }

// Decode decodes the msgpack value of a row into v; the error names the row.
func Decode(r Row, v any) error {
	if err := wire.Unpack(r.Value, v); err != nil {
		return fmt.Errorf("row %s/%s/%s: %w", r.Table, r.Part, r.Key, err)
	}
	return nil
}
