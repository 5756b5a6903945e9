package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/role/entry"
	"trefoilramp.org/trefoilramp/internal/serve/front"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

const key = "entry-test-shared-key"

// startEntry starts an entry that stops at the end of the test.
func startEntry(t *testing.T, st table.Store) *entry.Entry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	e, err := entry.New(ctx, entry.Config{
		Settings: setup.Entry{
			Name: "e1", AvailabilityZone: "agadir", Callers: "127.0.0.1:0", Administration: "127.0.0.1:0",
			Sessions: "127.0.0.1:0", Key: setup.Secret{Value: key},
		},
		Store: st,
		Log:   zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return e
}

// Guards against responses without an outcome, for example a redirect from a router that cleans the path.
func TestEveryResponseHasOutcome(t *testing.T) {
	e := startEntry(t, store.New(store.Options{}))
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, path := range []string{"/services/booking/x", "/services/booking//x", "/services/booking/a/../x", "/", "/services"} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Callers()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		w, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		w.Body.Close()
		if got := w.Header.Get(front.HeaderOutcome); got != string(front.NotRun) {
			t.Errorf("%s: status %d with outcome %q, want NotRun", path, w.StatusCode, got)
		}
	}
}

// Guards against a version that counts as in force everywhere because a restarted agent, which has not applied it, was
// forgotten when the session of its previous process closed late.
func TestLateCloseKeepsRestartedAgent(t *testing.T) {
	d := model.Default()
	d.AvailabilityZones[0].Name = "agadir"
	st := store.New(store.Options{})
	if _, err := head.New(st, head.Options{}).Accept(t.Context(), head.Change{Author: "amina", Document: d}); err != nil {
		t.Fatal(err)
	}
	e := startEntry(t, st)
	workersAt := func(inForce uint64) int {
		for _, z := range e.Status(t.Context()).Zones {
			if z.Name == "agadir" && z.InForce == inForce {
				return z.Workers
			}
		}
		return -1
	}
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not within 10 s: %s", what)
			}
		}
	}
	eventually("version 1 in force at the entry", func() bool { return workersAt(1) == 0 })
	connect := func(inc ident.Incarnation) *sess.Session {
		s, err := sess.Dial(t.Context(), e.Sessions(), sess.Config{Key: []byte(key), Self: wire.Hello{
			Role: wire.RoleAgent, Name: "w1", Zone: "agadir", Incarnation: inc,
		}}, &busyOwner{})
		if err == nil {
			err = s.Send(&wire.Heartbeat{Seq: 1})
		}
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	previous := connect("1")
	eventually("first session", func() bool { return workersAt(0) == 1 })
	defer connect("2").Close(nil)
	eventually("second session", func() bool { return workersAt(0) == 2 })
	previous.Close(nil)
	eventually("end of the first session", func() bool { return max(workersAt(0), workersAt(1)) == 1 })
	time.Sleep(100 * time.Millisecond) // until the entry has handled the end
	if workersAt(0) != 1 {
		t.Error("version 1 counts as in force, but the agent has not applied it")
	}
}
