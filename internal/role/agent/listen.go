package agent

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/guard"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/notice"
)

const maxAnnouncement = 4 << 10 // bytes

// announcements returns the handler for announcements of targets.
func (a *Agent) announcements() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+notice.Path, a.announce)
	return mux
}

func (a *Agent) announce(w http.ResponseWriter, r *http.Request) {
	var n notice.Announcement
	b, err := guard.ReadBody(r, maxAnnouncement)
	if errors.Is(err, guard.ErrOverload) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err == nil {
		err = d.Decode(&n)
	}
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := n.Validate(); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusUnprocessableEntity)
		return
	}
	info := wire.TargetInfo{
		Target: n.Target, Service: n.Service, State: wire.TargetReady, Slots: n.Slots, Connections: n.Connections,
	}
	if n.State == notice.Leaving {
		info.State = wire.TargetLeaving
	}
	isNew, err := a.registry.Announce(info, n.Address, time.Now())
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusUnprocessableEntity)
		return
	}
	if isNew {
		event.Log(a.cfg.Log, event.TargetAnnounced, zap.String("Target", n.Target), zap.String("Service", n.Service),
			zap.String("Address", n.Address))
	}
	w.WriteHeader(http.StatusNoContent)
}

// health returns the handler for the platform's health checks. An agent is ready while it accepts new work and has a
// session with at least one entry.
func (a *Agent) health() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if a.leaving.Load() || len(a.entrySessions()) == 0 {
			http.Error(w, "draining or without a session", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
