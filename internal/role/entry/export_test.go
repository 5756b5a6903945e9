package entry

import (
	"context"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// soleOwner is a roster in which one entry owns all partitions.
type soleOwner ident.Entry

func (o soleOwner) OwnerOf(ident.Partition) (ident.Entry, bool)        { return ident.Entry(o), true }
func (o soleOwner) IsAlive(name ident.Entry, _ ident.Incarnation) bool { return name == ident.Entry(o) }

// ownsNothing owns no partition; its other methods are not called.
type ownsNothing struct{ jobOwner }

func (ownsNothing) Owns(ident.Partition) bool { return false }

// DrainWorker drains the worker of the agent at the other end of s, as an operator does.
func DrainWorker(s *sess.Session) error {
	d := newDirectory(s.Peer().Zone)
	d.addAgent(s)
	return drainer{&Entry{directory: d, cfg: Config{Log: zap.NewNop()}}}.Drain(context.Background(), s.Peer().Name)
}

// CallOwner sends a request about a job to the entry at the other end of s, as the owner of the job's home partition.
func CallOwner(ctx context.Context, s *sess.Session, m wire.Message) (wire.JobReply, error) {
	d := newDirectory(s.Peer().Zone)
	d.addPeer(s)
	j := &jobs{&members{roster: soleOwner(s.Peer().Name), directory: d}, ownsNothing{}}
	return j.callOwner(ctx, ident.Partition{}, m)
}
