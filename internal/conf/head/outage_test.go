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
	testPoll = 5 * time.Millisecond
	patience = 5 * time.Second
)

// replaceable is a store that can be replaced, as when it is restored from a backup.
type replaceable struct {
	table.Store
	now atomic.Pointer[store.Store]
}

func (r *replaceable) Transact(ctx context.Context, t table.Transaction) (table.Result, error) {
	return r.now.Load().Transact(ctx, t)
}

func (r *replaceable) Range(ctx context.Context, from, to string, limit int) ([]table.Row, error) {
	return r.now.Load().Range(ctx, from, to, limit)
}

// peer is another entry that answers ConfigFetch.
type peer struct{ h *head.Holder }

func (p peer) FetchConfig(_ context.Context, atLeast uint64) (wire.ConfigDoc, []byte, error) {
	d, body := p.h.Answer(wire.ConfigFetch{AtLeast: atLeast})
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
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(testPoll) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

// watch runs h until the test ends and fails it when the version ever goes down.
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

// Guards against a process that goes back to an older version, or becomes ready with one, through an outage of the
// store and after its restoration from a backup.
func TestNeverOlder(t *testing.T) {
	s := &replaceable{}
	s.now.Store(store.New(store.Options{}))
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

	if err := s.now.Load().Faults().Set(script.Rule{Action: script.Down}); err != nil {
		t.Fatal(err)
	}
	c := head.New(s, head.Options{Poll: testPoll, Peers: peer{a}})
	c.Heard(3)
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

	s.now.Store(backup) // which has version 1
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

// Guards against a change that waits for the poll although its notice arrived, and a tampered document from a peer.
func TestHeardAndOffer(t *testing.T) {
	s := store.New(store.Options{})
	a, b := head.New(s, head.Options{}), head.New(s, head.Options{Poll: time.Hour})
	watch(t, b)
	eventually(t, "first check", b.IsReady)
	accept(t, a, 0)
	b.Heard(1)
	eventually(t, "version 1 after the notice", func() bool { return b.Version() == 1 })
	d, body := a.Answer(wire.ConfigFetch{})
	if err := head.New(s, head.Options{}).Offer(d, append([]byte(" "), body[:len(body)-2]...)); err == nil {
		t.Error("a damaged document was accepted")
	}
}
