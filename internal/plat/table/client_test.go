package table_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

func start(t *testing.T, h http.Handler) *table.Client {
	t.Helper()
	srv := httptest.NewServer(h)
	c := table.NewClient(table.Options{URL: srv.URL, Name: "me", Timeout: 200 * time.Millisecond})
	t.Cleanup(func() { c.Close(); srv.CloseClientConnections(); srv.Close() })
	return c
}

var write = table.Transaction{Txn: "t", Puts: []table.Put{{Key: "k", Value: json.RawMessage(`{"Txn":"t"}`)}}}

// Guards against an error that misstates the outcome of a write: ErrUnavailable for a write that may have taken
// effect would let the same work run twice.
func TestWriteErrorsMatchOutcome(t *testing.T) {
	delay := script.Duration(time.Second)
	tests := []struct {
		name    string
		rule    script.Rule
		want    error
		written bool
	}{
		{"down", script.Rule{Action: script.Down}, table.ErrUnavailable, false},
		{"lost before", script.Rule{Action: script.LoseBefore}, table.ErrUnknown, false},
		{"lost after", script.Rule{Action: script.LoseAfter}, table.ErrUnknown, true},
		{"timeout after", script.Rule{Action: script.LoseAfter, Delay: delay}, table.ErrUnknown, true},
		{"slow", script.Rule{Action: script.Slow, Delay: delay}, table.ErrUnknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := store.New(store.Options{})
			c := start(t, s.Handler())
			test.rule.Client = "me"
			if err := s.Faults().Set(test.rule); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Transact(t.Context(), write); !errors.Is(err, test.want) {
				t.Errorf("Transact: %v, want %v", err, test.want)
			}
			if _, err := c.Range(t.Context(), "a", "z", 0); !errors.Is(err, table.ErrUnavailable) {
				t.Errorf("Range: %v, want ErrUnavailable", err)
			}
			rows, err := s.Range(t.Context(), "a", "z", 0)
			if err != nil || (len(rows) == 1) != test.written {
				t.Errorf("rows are %v, %v; written should be %v", rows, err, test.written)
			}
		})
	}
}

// Guards against treating a status as proof of no effect when the body is not an error response of the store.
func TestStatusCodes(t *testing.T) {
	tests := []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusTooManyRequests, `{"NoEffect":true}`, table.ErrRateLimited},
		{http.StatusTooManyRequests, `busy`, table.ErrUnknown},
		{http.StatusServiceUnavailable, `{"NoEffect":true}`, table.ErrUnavailable},
		{http.StatusServiceUnavailable, ``, table.ErrUnknown},
		{http.StatusInternalServerError, ``, table.ErrUnknown},
		{http.StatusOK, `{"Commi`, table.ErrUnknown},
	}
	for _, test := range tests {
		c := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			w.Write([]byte(test.body))
		}))
		if _, err := c.Transact(t.Context(), write); !errors.Is(err, test.want) {
			t.Errorf("status %d with body %q: %v, want %v", test.status, test.body, err, test.want)
		}
	}
}

// Guards against ErrUnknown for a refused connection: no request was sent, and callers would block needlessly on an
// unknown outcome.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // only reserves a port on which nothing listens
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	c := table.NewClient(table.Options{URL: "http://" + address})
	if _, err := c.Transact(t.Context(), write); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("Transact: %v, want ErrUnavailable", err)
	}
}

// Guards against changes to rows, conflicts and objects in the HTTP encoding.
func TestClientMatchesStore(t *testing.T) {
	s := store.New(store.Options{})
	c := start(t, s.Handler())
	ctx := t.Context()
	res, err := c.Transact(ctx, write)
	if err != nil || !res.Committed || res.Version != 1 {
		t.Fatalf("Transact: %+v, %v", res, err)
	}
	got, err := table.Get(ctx, c, "k")
	if err != nil {
		t.Fatal(err)
	}
	want := table.Row{Key: "k", Value: write.Puts[0].Value, Version: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("row differs (-want +got):\n%s", diff)
	}
	again := write
	again.Conditions = []table.Condition{{Key: "k"}}
	res, err = table.Resolve(ctx, c, again, "k")
	if err != nil || !res.Committed || res.Version != 1 {
		t.Errorf("Resolve of a committed transaction: %+v, %v", res, err)
	}
	name := "snap/agadir/00 1%"
	if err := c.PutObject(ctx, name, []byte{0, 1, 2}); err != nil {
		t.Fatal(err)
	}
	if b, err := c.GetObject(ctx, name); err != nil || !cmp.Equal(b, []byte{0, 1, 2}) {
		t.Errorf("object is %v, %v", b, err)
	}
	if err := c.DeleteObject(ctx, name); err != nil {
		t.Fatal(err)
	}
	if _, err := c.GetObject(ctx, name); !errors.Is(err, table.ErrNotFound) {
		t.Errorf("deleted object: %v", err)
	}
}
