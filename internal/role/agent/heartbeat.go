package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// heartbeatInterval is the interval of heartbeats. Load hints older than a second mislead routing; the leases alone
// would need only one heartbeat in 5 s.
const heartbeatInterval = time.Second

var errOverloaded = errors.New("agent is overloaded")

// sendHeartbeats sends heartbeats, and the list of targets whenever it changes, until ctx ends.
func (a *Agent) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
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

// sendAll sends the list of targets to every entry that does not have it yet, and a heartbeat to all if heartbeat is
// set.
func (a *Agent) sendAll(heartbeat bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, es := range a.sessions {
		a.sendTargets(es)
		if heartbeat {
			a.sendHeartbeat(es)
		}
	}
}

// sendState sends the full state of this agent at the start of a session; the caller holds a.mu.
func (a *Agent) sendState(es *entrySession) {
	a.sendTargets(es)
	a.sendHeartbeat(es)
	if a.leaving.Load() {
		es.send(a.cfg.Log, &wire.Leaving{Reason: "agent is draining"})
	}
}

func (a *Agent) sendTargets(es *entrySession) {
	list := a.registry.List()
	if es.sentTargets == list.Version+1 {
		return
	}
	if es.session.Send(list) == nil {
		es.sentTargets = list.Version + 1
	}
}

func (a *Agent) sendHeartbeat(es *entrySession) {
	es.heartbeats++
	es.send(a.cfg.Log, &wire.Heartbeat{
		Seq:           es.heartbeats,
		SentAt:        a.runner.Now(),
		ConfigVersion: a.activeConfig.version(),
		Free:          a.ledger.Free(),
		Targets:       a.hints(),
		Renew:         a.runner.Renewals(es.session),
		Leaving:       a.leaving.Load(),
	})
}

// hints returns the number of requests in flight at each target.
func (a *Agent) hints() []wire.TargetHint {
	var list []wire.TargetHint
	for _, t := range a.registry.List().Targets {
		list = append(list, wire.TargetHint{Target: t.Target, InFlight: a.relay.InFlight(t.Target)})
	}
	return list
}
