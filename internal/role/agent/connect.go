package agent

import (
	"context"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

func (a *Agent) connect(ctx context.Context) {
	for {
		want := map[string]bool{}
		a.mu.Lock()
		for _, i := range a.roster {
			want[i.Address] = true
		}
		for s := range a.sessions {
			delete(want, s.Peer().Address)
		}
		if len(a.sessions) == 0 {
			want[a.cfg.Settings.Balancer] = true
		}
		a.mu.Unlock()
		for address := range want {
			s, err := sess.Dial(ctx, address, sess.Config{Self: a.hello(), Key: a.cfg.Settings.Key.Bytes(), TLS: a.cfg.Settings.TLS.Config(), Log: a.cfg.Log}, a)
			if err == nil {
				a.opened(s)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (a *Agent) heardRoster(_ *sess.Session, m *wire.Roster) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.roster = m.Entries
}
