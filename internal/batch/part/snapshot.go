package part

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// image is the durable form of a partition. Equal states have equal images: maps are written in order of their keys and
// holders in order of their first use.
type image struct {
	Epoch   ident.Epoch
	Holders []holder
	Jobs    []*Job
	Shares  []shareImage
}

type shareImage struct {
	Share Share
	Tasks []byte // varints: state, failures, attempt, checkpoint, and the holder while Starting
	Names []objectName
}

type objectName struct {
	Offset uint32
	Name   string
}

// Snapshot returns the whole state in msgpack form.
func (s *State) Snapshot() ([]byte, error) {
	im := image{Epoch: s.epoch}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		im.Jobs = append(im.Jobs, s.jobs[id])
	}
	table := map[uint32]uint64{}
	for _, id := range slices.Sorted(maps.Keys(s.shares)) {
		sh := s.shares[id]
		si := shareImage{Share: *sh}
		for i := range sh.tasks {
			t := &sh.tasks[i]
			si.Tasks = append(si.Tasks, byte(t.state), t.failures)
			si.Tasks = binary.AppendUvarint(si.Tasks, uint64(t.attempt))
			si.Tasks = binary.AppendUvarint(si.Tasks, uint64(t.checkpoint))
			if t.state != Starting {
				continue
			}
			n, ok := table[t.holder]
			if !ok {
				n = uint64(len(im.Holders))
				table[t.holder] = n
				im.Holders = append(im.Holders, s.holders.list[t.holder])
			}
			si.Tasks = binary.AppendUvarint(si.Tasks, n)
		}
		for _, off := range slices.Sorted(maps.Keys(sh.names)) {
			si.Names = append(si.Names, objectName{off, sh.names[off]})
		}
		im.Shares = append(im.Shares, si)
	}
	b, err := wire.Pack(&im)
	if err != nil {
		return nil, fmt.Errorf("snapshot of a partition: %w", err)
	}
	return b, nil
}

// Restore returns the state that Snapshot wrote.
func Restore(b []byte) (*State, error) {
	var im image
	if err := wire.Unpack(b, &im); err != nil {
		return nil, fmt.Errorf("snapshot of a partition: %w", err)
	}
	s := New()
	s.epoch = im.Epoch
	for _, j := range im.Jobs {
		s.jobs[j.Spec.Job] = j
	}
	for i := range im.Shares {
		sh := im.Shares[i].Share
		if err := s.restoreTasks(&sh, &im.Shares[i], im.Holders); err != nil {
			return nil, fmt.Errorf("tasks of job %s: %w", sh.Spec.Job, err)
		}
		if j := s.jobs[sh.Spec.Job]; j != nil {
			sh.Spec = j.Spec // one copy of the declaration
		}
		s.shares[sh.Spec.Job] = &sh
	}
	return s, nil
}

func (s *State) restoreTasks(sh *Share, si *shareImage, table []holder) error {
	if sh.Closed {
		return nil
	}
	sh.tasks = make([]task, sh.Range.To-sh.Range.From)
	b := si.Tasks
	number := func() uint64 {
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
		t.attempt, t.checkpoint = ident.Attempt(number()), ident.Attempt(number())
		if t.state == Starting {
			n := number()
			if n >= uint64(len(table)) {
				return ErrMalformed
			}
			t.holder = s.holders.take(table[n])
		}
	}
	for _, o := range si.Names {
		if sh.names == nil {
			sh.names = map[uint32]string{}
		}
		sh.names[o.Offset] = o.Name
	}
	return nil
}
