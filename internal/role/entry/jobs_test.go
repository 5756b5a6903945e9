package entry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/role/entry"
)

// busyOwner is an entry that replies 503 to requests about jobs, except that it leaves one of them without a reply.
type busyOwner struct {
	unanswered int // number of the request without a reply, from 1; 0 for none
	requests   int
}

func (o *busyOwner) HandleMessage(*sess.Session, wire.Message) {}
func (o *busyOwner) HandleClosed(*sess.Session, error)         {}

func (o *busyOwner) HandleStream(_ *sess.Session, st *sess.Stream) {
	o.requests++
	if o.requests == o.unanswered {
		return // the session resets the stream
	}
	if st.Send(st.Context(), &wire.JobReply{Status: http.StatusServiceUnavailable, Detail: "busy"}) == nil {
		_ = st.CloseWrite()
	}
}

// Guards against "nothing was changed" as the outcome of a submission whose first attempt had no reply and may be
// executed, because a later attempt was refused.
func TestRefusalAfterUnansweredAttempt(t *testing.T) {
	for _, c := range []struct {
		name       string
		unanswered int
		m          wire.Message
		unknown    bool
	}{
		{"submission, all attempts refused", 0, &wire.JobSubmit{}, false},
		{"submission, first attempt unanswered", 1, &wire.JobSubmit{}, true},
		{"cancellation, second attempt unanswered", 2, &wire.JobCancel{}, true},
		{"query, first attempt unanswered", 1, &wire.JobQuery{}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, owner := connect(t, &busyOwner{unanswered: c.unanswered})
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond) // ends between two attempts
			defer cancel()
			reply, err := entry.CallOwner(ctx, s, c.m)
			if got := errors.Is(err, table.ErrUnknown); got != c.unknown || !got && reply.Status != http.StatusServiceUnavailable {
				t.Errorf("%s: reply %d %q, error %v; want an unknown outcome: %v", c.name, reply.Status, reply.Detail, err, c.unknown)
			}
			s.Close(nil)
			s.Wait()
			owner.Wait()
		})
	}
}

// Guards against a drain that is reported as requested although its command could not be sent.
func TestDrainThatIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, agent := connect(t, &busyOwner{})
		if err := entry.DrainWorker(s); err != nil {
			t.Errorf("drain: %v", err)
		}
		s.Close(nil) // the entry has not handled the end of the session yet
		if err := entry.DrainWorker(s); !errors.Is(err, table.ErrUnavailable) {
			t.Errorf("drain over a session that has ended: %v, want ErrUnavailable", err)
		}
		s.Wait()
		agent.Wait()
	})
}

// connect returns both ends of a session, the second of which serves requests with h.
func connect(t *testing.T, h sess.Handler) (near, far *sess.Session) {
	t.Helper()
	a, b := net.Pipe()
	accepted := make(chan *sess.Session)
	go func() {
		s, err := sess.Accept(t.Context(), b, config("far"), h)
		if err != nil {
			t.Error(err)
		}
		accepted <- s
	}()
	near, err := sess.Connect(t.Context(), a, config("near"), &busyOwner{})
	if err != nil {
		t.Fatal(err)
	}
	return near, <-accepted
}

func config(name string) sess.Config {
	return sess.Config{Self: wire.Hello{Role: wire.RoleEntry, Name: name, Zone: "agadir"}, Key: []byte("key of the test")}
}
