package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// beatEvery is the interval of heartbeats. Hints older than a second mislead routing; leases need one in 5 s only.
const beatEvery = time.Second

var errOverloaded = errors.New("agent is overloaded")

// beat sends heartbeats, and the list of targets whenever it changes.
func (a *Agent) beat(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.registry.Changed():
			a.sendAll(false)
		case now := <-ticker.C:
			a.registry.Expire(now)
			a.sendAll(true)
		}
	}
}

// sendAll sends the list of targets where it is not known yet, and a heartbeat if asked for.
func (a *Agent) sendAll(heartbeat bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.sessions {
		a.sendTargets(l)
		if heartbeat {
			a.sendHeartbeat(l)
		}
	}
}

// sendState sends everything that an entry needs of this agent at the start of a session; a.mu is held.
func (a *Agent) sendState(l *link) {
	a.sendTargets(l)
	a.sendHeartbeat(l)
	if a.leaving.Load() {
		l.send(a.cfg.Log, &wire.Leaving{Reason: "agent is draining"})
	}
}

func (a *Agent) sendTargets(l *link) {
	list := a.registry.List()
	if l.targets == list.Version+1 {
		return
	}
	if l.session.Send(list) == nil {
		l.targets = list.Version + 1
	}
}

func (a *Agent) sendHeartbeat(l *link) {
	l.beats++
	l.send(a.cfg.Log, &wire.Heartbeat{
		Seq:           l.beats,
		SentAt:        a.runner.Now(),
		ConfigVersion: a.limits.version(),
		Free:          a.ledger.Free(),
		Targets:       a.hints(),
		Renew:         a.runner.Renewals(l.session),
		Leaving:       a.leaving.Load(),
	})
}

// hints tells how busy the targets are.
func (a *Agent) hints() []wire.TargetHint {
	var list []wire.TargetHint
	for _, t := range a.registry.List().Targets {
		list = append(list, wire.TargetHint{Target: t.Target, InFlight: a.relay.InFlight(t.Target)})
	}
	return list
}
