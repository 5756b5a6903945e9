package part

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// snapshot is the durable form of a partition. Equal states have equal snapshots: maps are written in key order and
// holders in order of first use.
type snapshot struct {
	Epoch   ident.Epoch
	Holders []holder
	Jobs    []*Job
	Shares  []shareSnapshot
}

type shareSnapshot struct {
	Share Share
	Tasks []byte // per task: state and failures as bytes; attempt, checkpoint and, while Starting, holder as varints
	Names []objectName
}

type objectName struct {
	Offset uint32
	Name   string
}

// Snapshot returns the complete state as msgpack.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Epoch: s.epoch}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		snap.Jobs = append(snap.Jobs, s.jobs[id])
	}
	positions := map[uint32]uint64{}
	for _, id := range slices.Sorted(maps.Keys(s.shares)) {
		sh := s.shares[id]
		ss := shareSnapshot{Share: *sh}
		for i := range sh.tasks {
			t := &sh.tasks[i]
			ss.Tasks = append(ss.Tasks, byte(t.state), t.failures)
			ss.Tasks = binary.AppendUvarint(ss.Tasks, uint64(t.attempt))
			ss.Tasks = binary.AppendUvarint(ss.Tasks, uint64(t.checkpoint))
			if t.state != Starting {
				continue
			}
			n, ok := positions[t.holder]
			if !ok {
				n = uint64(len(snap.Holders))
				positions[t.holder] = n
				snap.Holders = append(snap.Holders, s.holders.list[t.holder])
			}
			ss.Tasks = binary.AppendUvarint(ss.Tasks, n)
		}
		for _, off := range slices.Sorted(maps.Keys(sh.names)) {
			ss.Names = append(ss.Names, objectName{off, sh.names[off]})
		}
		snap.Shares = append(snap.Shares, ss)
	}
	b, err := wire.Pack(&snap)
	if err != nil {
		return nil, fmt.Errorf("snapshot of a partition: %w", err)
	}
	return b, nil
}

// Restore returns the state encoded by Snapshot; the error is or wraps ErrMalformed if the tasks are malformed.
func Restore(b []byte) (*State, error) {
	var snap snapshot
	if err := wire.Unpack(b, &snap); err != nil {
		return nil, fmt.Errorf("snapshot of a partition: %w", err)
	}
	s := New()
	s.epoch = snap.Epoch
	for _, j := range snap.Jobs {
		s.jobs[j.Spec.Job] = j
	}
	for i := range snap.Shares {
		sh := snap.Shares[i].Share
		if err := s.restoreTasks(&sh, &snap.Shares[i], snap.Holders); err != nil {
			return nil, fmt.Errorf("tasks of job %s: %w", sh.Spec.Job, err)
		}
		if j := s.jobs[sh.Spec.Job]; j != nil {
			sh.Spec = j.Spec // share the job's copy
		}
		s.shares[sh.Spec.Job] = &sh
	}
	return s, nil
}

func (s *State) restoreTasks(sh *Share, ss *shareSnapshot, encoded []holder) error {
	if sh.Closed {
		return nil
	}
	sh.tasks = make([]task, sh.Range.To-sh.Range.From)
	b := ss.Tasks
	nextVarint := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			b = nil
			return 0
		}
		b = b[n:]
		return v
	}
	for i := range sh.tasks {
		if len(b) < 4 {
			return ErrMalformed
		}
		t := &sh.tasks[i]
		t.state, t.failures = TaskState(b[0]), b[1]
		b = b[2:]
		t.attempt, t.checkpoint = ident.Attempt(nextVarint()), ident.Attempt(nextVarint())
		if t.state == Starting {
			n := nextVarint()
			if n >= uint64(len(encoded)) {
				return ErrMalformed
			}
			t.holder = s.holders.intern(encoded[n])
		}
	}
	for _, o := range ss.Names {
		if sh.names == nil {
			sh.names = map[uint32]string{}
		}
		sh.names[o.Offset] = o.Name
	}
	return nil
}
