package head_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

const (
	testPoll    = 5 * time.Millisecond
	waitTimeout = 5 * time.Second
)

// replaceableStore is a store whose content can be replaced, as by a restoration from a backup.
type replaceableStore struct {
	table.Store
	active atomic.Pointer[store.Store]
}

func (r *replaceableStore) Transact(ctx context.Context, t table.Transaction) (table.Result, error) {
	return r.active.Load().Transact(ctx, t)
}

func (r *replaceableStore) Range(ctx context.Context, from, to string, limit int) ([]table.Row, error) {
	return r.active.Load().Range(ctx, from, to, limit)
}

// peer is another entry that answers ConfigFetch messages.
type peer struct{ h *head.Holder }

func (p peer) FetchConfig(_ context.Context, atLeast uint64) (wire.ConfigDoc, []byte, error) {
	d, body := p.h.HandleFetch(wire.ConfigFetch{AtLeast: atLeast})
	return d, body, nil
}

func accept(t *testing.T, h *head.Holder, base uint64) {
	t.Helper()
	d := model.Default()
	d.Teams[0].Weight = int64(base) + 1
	if _, err := h.Accept(t.Context(), head.Change{Author: "amina", Base: base, Document: d}); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(testPoll) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

// watch runs h until the test ends, and fails the test if a version does not increase.
func watch(t *testing.T, h *head.Holder) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	versions, unsubscribe := h.Subscribe()
	go func() {
		defer close(ended)
		h.Run(ctx)
	}()
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		var last uint64
		for {
			select {
			case c := <-versions:
				if c.Version <= last {
					t.Errorf("version %d after %d", c.Version, last)
				}
				last = c.Version
			case <-ended:
				return
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-checked
		unsubscribe()
	})
}

// Guards against a process that returns to an older version, or becomes ready with one, in an outage of the store and
// after the restoration of the store from a backup.
func TestVersionOnlyIncreases(t *testing.T) {
	s := &replaceableStore{}
	s.active.Store(store.New(store.Options{}))
	a := head.New(s, head.Options{Poll: testPoll})
	b := head.New(s, head.Options{Poll: testPoll})
	watch(t, b)
	eventually(t, "ready without any configuration", b.IsReady)
	backup := store.New(store.Options{})
	accept(t, head.New(backup, head.Options{}), 0)
	for base := range uint64(3) {
		accept(t, a, base)
	}
	eventually(t, "version 3 by polling alone", func() bool { return b.Version() == 3 })

	if err := s.active.Load().Faults().Set(script.Rule{Action: script.Down}); err != nil {
		t.Fatal(err)
	}
	c := head.New(s, head.Options{Poll: testPoll, Peers: peer{a}})
	c.NoticeVersion(3)
	if c.IsReady() {
		t.Error("an entry without a version is ready")
	}
	watch(t, c)
	eventually(t, "version 3 from a peer in the outage", c.IsReady)
	if b.Version() != 3 || c.Version() != 3 {
		t.Errorf("versions %d and %d in the outage, want 3", b.Version(), c.Version())
	}
	if diff := cmp.Diff(b.Current().Revision, c.Current().Revision); diff != "" {
		t.Errorf("revision from a peer differs from the store's (-store +peer):\n%s", diff)
	}

	s.active.Store(backup) // the backup has version 1
	time.Sleep(10 * testPoll)
	if b.Version() != 3 || c.Version() != 3 {
		t.Errorf("versions %d and %d after the restoration, want 3", b.Version(), c.Version())
	}
	accept(t, b, 3)
	eventually(t, "version 4 everywhere", func() bool { return c.Version() == 4 })
	list, err := c.History(t.Context(), 0, 10)
	if err != nil || len(list) == 0 || list[0].Version != 4 {
		t.Errorf("history is %+v, %v", list, err)
	}
}

// Guards against a change that waits for the poll although its notification arrived, and against accepting a corrupt
// document from a peer.
func TestNoticeVersionAndOffer(t *testing.T) {
	s := store.New(store.Options{})
	a, b := head.New(s, head.Options{}), head.New(s, head.Options{Poll: time.Hour})
	watch(t, b)
	eventually(t, "first check", b.IsReady)
	accept(t, a, 0)
	b.NoticeVersion(1)
	eventually(t, "version 1 after the notification", func() bool { return b.Version() == 1 })
	d, body := a.HandleFetch(wire.ConfigFetch{})
	if err := head.New(s, head.Options{}).Offer(d, append([]byte(" "), body[:len(body)-2]...)); err == nil {
		t.Error("a corrupt document was accepted")
	}
}
