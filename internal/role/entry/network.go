package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

type network struct {
	e       *Entry
	mu      sync.Mutex
	seen    map[ident.Entry]*seenEntry
	left    bool
	version uint64
}

type seenEntry struct {
	info    wire.EntryInfo
	beat    uint64
	changed time.Time
}

type entryRow struct {
	wire.EntryInfo
	Beat uint64
	Txn  ident.Txn
}

func newNetwork(e *Entry) *network { return &network{e: e, seen: map[ident.Entry]*seenEntry{}} }

func (n *network) self() wire.EntryInfo {
	s := n.e.cfg.Settings
	return wire.EntryInfo{Name: ident.Entry(s.Name), Incarnation: n.e.incarnation, Zone: ident.AvailabilityZone(s.AvailabilityZone), Address: n.e.Sessions(), Draining: n.left}
}

func (n *network) run(ctx context.Context) {
	var beat uint64
	for {
		beat++
		n.mu.Lock()
		me := n.self()
		n.mu.Unlock()
		key := "entry/" + string(me.Zone) + "/" + string(me.Name)
		b, _ := json.Marshal(entryRow{me, beat, ident.NewTxn()})
		_, err := n.e.cfg.Store.Transact(ctx, table.Transaction{Txn: ident.NewTxn(), Puts: []table.Put{{Key: key, Value: b}}})
		if err != nil {
			n.e.cfg.Log.Debug("entry row", zap.Error(err))
		}
		rows, err := n.e.cfg.Store.Range(ctx, "entry/", "entry/\xff", 100)
		if err == nil {
			n.note(rows)
		}
		n.dial(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
}

func (n *network) note(rows []table.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range rows {
		var v entryRow
		if json.Unmarshal(r.Value, &v) != nil {
			continue
		}
		s, ok := n.seen[v.Name]
		if !ok || s.beat != v.Beat || s.info != v.EntryInfo {
			if !ok || s.info != v.EntryInfo {
				n.version++
			}
			n.seen[v.Name] = &seenEntry{v.EntryInfo, v.Beat, time.Now()}
		}
	}
}

func (n *network) dial(ctx context.Context) {
	have := n.e.directory.peerSessions()
	for _, i := range n.entries() {
		if i.Name <= ident.Entry(n.e.cfg.Settings.Name) || have[i.Name] != nil {
			continue
		}
		if s, err := sess.Dial(ctx, i.Address, n.e.sessionConfig(), n.e); err == nil {
			n.e.introduce(s)
		}
	}
	for _, s := range n.e.directory.agentSessions() {
		n.e.sendRoster(s)
	}
}

func (n *network) entries() []wire.EntryInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []wire.EntryInfo
	for _, s := range n.seen {
		if time.Since(s.changed) < 8*time.Second {
			list = append(list, s.info)
		}
	}
	return list
}

func (n *network) group(zone ident.AvailabilityZone) []wire.EntryInfo {
	all := slices.DeleteFunc(n.entries(), func(i wire.EntryInfo) bool { return i.Draining })
	own := slices.DeleteFunc(slices.Clone(all), func(i wire.EntryInfo) bool { return i.Zone != zone })
	if len(own) > 0 {
		return own
	}
	return all
}

func (n *network) OwnerOf(p ident.Partition) (ident.Entry, bool) {
	var best ident.Entry
	var top uint64
	for _, i := range n.group(p.Zone) {
		if h := xxhash.Sum64String(p.String() + "|" + string(i.Name)); best == "" || h > top {
			best, top = i.Name, h
		}
	}
	return best, best != ""
}

func (n *network) IsAlive(name ident.Entry, inc ident.Incarnation) bool {
	for _, i := range n.entries() {
		if i.Name == name {
			return i.Incarnation == inc
		}
	}
	return false
}

func (n *network) leave() {
	n.mu.Lock()
	n.left = true
	n.mu.Unlock()
}

func (e *Entry) sendRoster(s *sess.Session) {
	e.send(s, &wire.Roster{Version: e.network.version, Entries: e.network.group(s.Peer().Zone)})
}

func (e *Entry) heardRoster(*wire.Roster) {}
