package ident

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Worker is the name of a worker, unique in the deployment.
type Worker string

// Entry is the name of an entry, unique in the deployment.
type Entry string

// Job is the identity of a batch job, chosen by the submitter or generated.
type Job string

// Team is the name of a team that shares the platform.
type Team string

// AvailabilityZone is the name of an availability zone.
type AvailabilityZone string

// Epoch counts the ownership changes of a partition; a higher epoch fences all lower ones.
type Epoch uint64

// Attempt numbers the executions of a task from 1; 0 means that the task was never started.
type Attempt uint32

// Incarnation identifies one start of a process; a restarted process has another one.
type Incarnation string

// Request identifies one caller's request; it is never used twice.
type Request string

// Txn identifies one store transaction, so that its writer recognizes its own effect after a lost response.
type Txn string

// Task identifies a task as a job and an index within the job.
type Task struct {
	Job   Job
	Index uint32
}

// String returns the task as JOB/INDEX.
func (t Task) String() string { return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10) }

// ParseTask reads the form that Task.String writes.
func ParseTask(s string) (Task, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return Task{}, errors.Newf("task %q is not of the form JOB/INDEX", s)
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 32)
	if err != nil {
		return Task{}, fmt.Errorf("index of task %q: %w", s, err)
	}
	return Task{Job: Job(s[:i]), Index: uint32(n)}, nil
}

// Partition identifies a fixed part of the task space of an availability zone.
type Partition struct {
	Zone   AvailabilityZone
	Number uint16
}

// String returns the partition as ZONE/NN, the form that row keys use.
func (p Partition) String() string { return fmt.Sprintf("%s/%02d", p.Zone, p.Number) }

// ParsePartition reads the form that Partition.String writes.
func ParsePartition(s string) (Partition, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return Partition{}, errors.Newf("partition %q is not of the form ZONE/NN", s)
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 16)
	if err != nil {
		return Partition{}, fmt.Errorf("number of partition %q: %w", s, err)
	}
	return Partition{Zone: AvailabilityZone(s[:i]), Number: uint16(n)}, nil
}

const randomBytes = 16 // 128 bits make a collision negligible at 10^9 identities a day

func random() string {
	var b [randomBytes]byte
	rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation { return Incarnation(random()) }

// NewRequest returns a random request identity.
func NewRequest() Request { return Request(random()) }

// NewTxn returns a random transaction identity.
func NewTxn() Txn { return Txn(random()) }

// NewJob returns a random job identity.
func NewJob() Job { return Job("job-" + random()) }

// nameForm allows what is safe in row keys, URL paths and file names.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsName reports whether s may name a service, worker, entry, team, zone or job: 1 to 63 letters, digits, dots,
// underscores and hyphens that start with a letter or digit.
func IsName(s string) bool { return nameForm.MatchString(s) }
