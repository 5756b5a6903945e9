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

// Job is the identifier of a batch job, chosen by its submitter or generated.
type Job string

// Team is the name of a team that shares the platform.
type Team string

// AvailabilityZone is the name of an availability zone.
type AvailabilityZone string

// Epoch counts the ownership changes of a partition; a higher epoch fences all lower ones.
type Epoch uint64

// Attempt numbers the executions of a task from 1; 0 means that the task was never started.
type Attempt uint32

// Incarnation identifies one start of a process; a restarted process has a different one.
type Incarnation string

// Request identifies one request of a caller; it is never reused.
type Request string

// Txn identifies one store transaction, so that its writer can recognize after a lost response that it was applied.
type Txn string

// Task identifies a task as a job and an index within the job.
type Task struct {
	Job   Job
	Index uint32
}

// String returns the task as JOB/INDEX.
func (t Task) String() string { return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10) }

// ParseTask parses the output of Task.String; it returns an error if s is not of the form JOB/INDEX.
func ParseTask(s string) (Task, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return Task{}, errors.Newf("task %q is not of the form JOB/INDEX", s)
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 32)
	if err != nil {
		return Task{}, fmt.Errorf("parse index of task %q: %w", s, err)
	}
	return Task{Job: Job(s[:i]), Index: uint32(n)}, nil
}

// Partition identifies one of the fixed partitions of the tasks of an availability zone.
type Partition struct {
	Zone   AvailabilityZone
	Number uint16
}

// String returns the partition as ZONE/NN, which is also its form in row keys.
func (p Partition) String() string { return fmt.Sprintf("%s/%02d", p.Zone, p.Number) }

// ParsePartition parses the output of Partition.String; it returns an error if s is not of the form ZONE/NN.
func ParsePartition(s string) (Partition, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return Partition{}, errors.Newf("partition %q is not of the form ZONE/NN", s)
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 16)
	if err != nil {
		return Partition{}, fmt.Errorf("parse number of partition %q: %w", s, err)
	}
	return Partition{Zone: AvailabilityZone(s[:i]), Number: uint16(n)}, nil
}

const randomBytes = 16 // 128 bits make a collision negligible at 10^9 identifiers a day

func randomHex() string {
	var b [randomBytes]byte
	rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation { return Incarnation(randomHex()) }

// NewRequest returns a random request identifier.
func NewRequest() Request { return Request(randomHex()) }

// NewTxn returns a random transaction identifier.
func NewTxn() Txn { return Txn(randomHex()) }

// NewJob returns a random job identifier with the prefix "job-".
func NewJob() Job { return Job("job-" + randomHex()) }

// namePattern matches names that are safe in row keys, URL paths and file names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsName reports whether s may name a service, worker, entry, team, zone or job: 1 to 63 letters, digits, dots,
// underscores and hyphens that start with a letter or digit.
func IsName(s string) bool { return namePattern.MatchString(s) }
