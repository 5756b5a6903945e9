package entry

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/core/stall"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// partitionPeers sends messages to the owners of other partitions; it implements owner.Peers.
type partitionPeers struct {
	roster    liveEntries
	directory *directory
}

// Send implements owner.Peers.
func (p *partitionPeers) Send(id ident.Partition, m wire.Message) error {
	name, ok := p.roster.OwnerOf(id)
	if !ok {
		return errors.Newf("no live entry for partition %s", id)
	}
	s := p.directory.peerSessions()[name]
	if s == nil {
		return errors.Newf("no session with entry %s", name)
	}
	return s.Send(m)
}

// configPeers fetches the configuration from other entries; it implements head.Peers.
type configPeers struct{ directory *directory }

// FetchConfig implements head.Peers.
func (p *configPeers) FetchConfig(ctx context.Context, atLeast uint64) (wire.ConfigDoc, []byte, error) {
	lastErr := errors.New("no session with another entry")
	for name, s := range p.directory.peerSessions() {
		d, body, err := fetchConfig(ctx, s, atLeast)
		if err == nil && d.Version >= atLeast {
			return d, body, nil
		}
		if err == nil {
			err = errors.New("does not have the requested version")
		}
		lastErr = fmt.Errorf("entry %s: %w", name, err)
	}
	return wire.ConfigDoc{}, nil, lastErr
}

func fetchConfig(ctx context.Context, s *sess.Session, atLeast uint64) (wire.ConfigDoc, []byte, error) {
	st, err := s.Open(ctx, &wire.ConfigFetch{AtLeast: atLeast})
	if err != nil {
		return wire.ConfigDoc{}, nil, fmt.Errorf("fetch configuration: %w", err)
	}
	defer st.Reset("request has ended")
	if err := st.CloseWrite(); err != nil {
		return wire.ConfigDoc{}, nil, fmt.Errorf("fetch configuration: %w", err)
	}
	m, err := st.Receive(ctx)
	if err != nil {
		return wire.ConfigDoc{}, nil, fmt.Errorf("fetch configuration: %w", err)
	}
	d, ok := m.(*wire.ConfigDoc)
	if !ok {
		return wire.ConfigDoc{}, nil, errors.Newf("unexpected reply %v", m.Kind())
	}
	stall.Progress(ctx)
	body, err := io.ReadAll(stall.NewReader(ctx, io.LimitReader(st, model.MaxDocument+1)))
	if err != nil {
		return wire.ConfigDoc{}, nil, fmt.Errorf("read configuration: %w", err)
	}
	return *d, body, nil
}

// answerConfig sends the configuration in force to another entry.
func (e *Entry) answerConfig(st *sess.Stream, m *wire.ConfigFetch) {
	d, body := e.holder.HandleFetch(*m)
	if err := st.Send(st.Context(), &d); err != nil {
		return
	}
	if _, err := st.Write(body); err != nil {
		return
	}
	_ = st.CloseWrite() // fails only when the stream has ended
}

// answerJob answers a request about a job from another entry.
func (e *Entry) answerJob(st *sess.Stream) {
	reply := answerJob(st.Context(), e.owner, st.Head())
	if err := st.Send(st.Context(), reply); err != nil {
		return
	}
	_ = st.CloseWrite() // fails only when the stream has ended
}
