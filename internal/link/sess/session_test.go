package sess_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var key = []byte("a key that both sides share")

func config(name string) sess.Config {
	return sess.Config{Self: wire.Hello{Role: wire.RoleEntry, Name: name, Zone: "agadir"}, Key: key}
}

// recorder is a Handler that records messages and ends of sessions, and runs stream for each stream.
type recorder struct {
	mu       sync.Mutex
	messages []wire.Message
	closed   []error
	stream   func(st *sess.Stream)
	panics   bool
	busy     time.Duration // that each message takes
}

func (r *recorder) HandleMessage(_ *sess.Session, m wire.Message) {
	time.Sleep(r.busy)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
	if r.panics {
		panic("message that the handler cannot handle")
	}
}

func (r *recorder) HandleStream(_ *sess.Session, st *sess.Stream) {
	if r.stream != nil {
		r.stream(st)
	}
}

func (r *recorder) HandleClosed(_ *sess.Session, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = append(r.closed, err)
}

func (r *recorder) seen() ([]wire.Message, []error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.messages, r.closed
}

// pair opens a session over a pipe and returns both sides.
func pair(t *testing.T, dialing, accepting *recorder) (d, a *sess.Session) {
	t.Helper()
	left, right := net.Pipe()
	accepted := make(chan *sess.Session, 1)
	go func() {
		s, err := sess.Accept(context.Background(), right, config("b"), accepting)
		if err != nil {
			t.Error(err)
		}
		accepted <- s
	}()
	d, err := sess.Connect(context.Background(), left, config("a"), dialing)
	if err != nil {
		t.Fatal(err)
	}
	return d, <-accepted
}

func closeBoth(d, a *sess.Session) {
	d.Close(nil)
	d.Wait()
	a.Wait()
}

// Guards against lost or reordered messages, and against a Close that drops queued messages.
func TestMessagesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var left, right recorder
		d, a := pair(t, &left, &right)
		for i := range uint64(300) {
			if err := d.Send(&wire.ConfigChanged{Version: i}); err != nil {
				t.Fatal(err)
			}
		}
		closeBoth(d, a)
		got, closed := right.seen()
		if len(got) != 300 {
			t.Fatalf("%d messages arrived, want 300", len(got))
		}
		for i, m := range got {
			if c, ok := m.(*wire.ConfigChanged); !ok || c.Version != uint64(i) {
				t.Fatalf("message %d is %v", i, m)
			}
		}
		if len(closed) != 1 || !errors.Is(closed[0], sess.ErrPeerClosed) {
			t.Errorf("accepting side closed with %v, want ErrPeerClosed once", closed)
		}
		if _, closed := left.seen(); len(closed) != 1 || closed[0] != nil {
			t.Errorf("closing side closed with %v, want nil once", closed)
		}
		if err := d.Send(&wire.ConfigChanged{}); !errors.Is(err, sess.ErrClosed) {
			t.Errorf("send after close: %v, want ErrClosed", err)
		}
	})
}

// Guards against one message that ends the whole process.
func TestPanicEndsOneSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left, right := recorder{}, recorder{panics: true}
		d, a := pair(t, &left, &right)
		if err := d.Send(&wire.ConfigChanged{Version: 1}); err != nil {
			t.Fatal(err)
		}
		d.Wait()
		a.Wait()
		if _, closed := right.seen(); len(closed) != 1 || closed[0] == nil {
			t.Errorf("session closed with %v; want one error", closed)
		}
	})
}

// Guards against a body that is changed, truncated or delivered without its end, for bodies larger than the window in
// both directions.
func TestStreamCarriesBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := bytes.Repeat([]byte("0123456789"), 200_000)
		ctx := context.Background()
		right := recorder{stream: func(st *sess.Stream) {
			if _, ok := st.Head().(*wire.RequestHead); !ok {
				t.Errorf("head is %T", st.Head())
			}
			if err := st.Send(ctx, &wire.ResponseHead{Status: 200}); err != nil {
				t.Error(err)
			}
			if _, err := io.Copy(st, st); err != nil {
				t.Error(err)
			}
			if err := st.Send(ctx, &wire.Trailers{}); err != nil {
				t.Error(err)
			}
			if err := st.CloseWrite(); err != nil {
				t.Error(err)
			}
		}}
		d, a := pair(t, &recorder{}, &right)
		st, err := d.Open(ctx, &wire.RequestHead{Service: "booking"})
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if _, err := st.Write(body); err != nil {
				t.Error(err)
			}
			if err := st.CloseWrite(); err != nil {
				t.Error(err)
			}
		}()
		if m, err := st.Receive(ctx); err != nil || m.Kind() != wire.KindResponseHead {
			t.Fatalf("first message: %v, %v", m, err)
		}
		got, err := io.ReadAll(st)
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("body of %d bytes, %v; want %d bytes", len(got), err, len(body))
		}
		if m, err := st.Receive(ctx); err != nil || m.Kind() != wire.KindTrailers {
			t.Errorf("after the body: %v, %v, want trailers", m, err)
		}
		if _, err := st.Receive(ctx); !errors.Is(err, io.EOF) {
			t.Errorf("after trailers: %v, want io.EOF", err)
		}
		<-st.Context().Done()
		if !st.Sent() {
			t.Error("Sent is false after a whole exchange")
		}
		closeBoth(d, a)
	})
}

// Guards against a broken stream that reads as complete, for each way in which it can break.
func TestBrokenStreamIsTruncated(t *testing.T) {
	for name, breakStream := range map[string]func(d, a *sess.Session, st *sess.Stream){
		"reset by peer":          func(_, _ *sess.Session, st *sess.Stream) { st.Reset("test") },
		"handler returns":        func(_, _ *sess.Session, _ *sess.Stream) {},
		"session closed by peer": func(_, a *sess.Session, _ *sess.Stream) { a.Close(errors.New("test")) },
		"session closed locally": func(d, _ *sess.Session, st *sess.Stream) { d.Close(nil); <-st.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var d, a *sess.Session
				right := recorder{stream: func(st *sess.Stream) {
					if _, err := st.Write([]byte("half")); err != nil {
						t.Error(err)
					}
					time.Sleep(time.Second)
					breakStream(d, a, st)
				}}
				d, a = pair(t, &recorder{}, &right)
				st, err := d.Open(context.Background(), &wire.RequestHead{})
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(st)
				if string(got) != "half" || !errors.Is(err, sess.ErrTruncated) {
					t.Errorf("read %q, %v, want ErrTruncated after half", got, err)
				}
				<-st.Context().Done()
				if _, err := st.Write([]byte("x")); err == nil {
					t.Error("write to a broken stream succeeded")
				}
				closeBoth(d, a)
			})
		})
	}
}

// Guards against a slow reader that blocks other streams or messages of its session.
func TestSlowReaderBlocksOnlyItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		right := recorder{stream: func(st *sess.Stream) {
			if h, ok := st.Head().(*wire.RequestHead); ok && h.Service == "slow" {
				<-st.Context().Done()
				return
			}
			_, _ = io.Copy(st, st)
			_ = st.CloseWrite()
		}}
		d, a := pair(t, &recorder{}, &right)
		slow, err := d.Open(ctx, &wire.RequestHead{Service: "slow"})
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = slow.Write(make([]byte, 10<<20)) }()
		time.Sleep(time.Second)
		fast, err := d.Open(ctx, &wire.RequestHead{Service: "fast"})
		if err != nil {
			t.Fatal(err)
		}
		body := make([]byte, 1<<20)
		go func() { _, _ = fast.Write(body); _ = fast.CloseWrite() }()
		start := time.Now()
		if got, err := io.ReadAll(fast); err != nil || len(got) != len(body) {
			t.Errorf("read %d bytes, %v", len(got), err)
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("fast stream took %v", elapsed)
		}
		slow.Reset("test")
		closeBoth(d, a)
	})
}

// Guards against ended streams that still count towards MaxStreams, and against truncated streams that read as
// complete, when streams end in any order, by either side and with unread bytes.
func TestEndedStreamsDoNotCount(t *testing.T) {
	ctx := context.Background()
	right := recorder{stream: func(st *sess.Stream) {
		if h, ok := st.Head().(*wire.RequestHead); ok && h.Service == "held" {
			<-st.Context().Done()
			return
		}
		switch rand.IntN(6) {
		case 0:
			st.Reset("test")
		case 1: // reset by the session
		case 2:
			_ = st.CloseWrite()
		default:
			if _, err := io.Copy(st, st); err == nil {
				_ = st.CloseWrite()
			}
		}
	}}
	var left recorder
	d, a := pair(t, &left, &right)
	var users sync.WaitGroup
	for range 20 {
		users.Go(func() {
			for range 20 {
				useStream(ctx, t, d)
			}
		})
	}
	users.Wait()
	_, l := left.seen()
	if _, r := right.seen(); len(l)+len(r) > 0 {
		t.Fatalf("session closed with %v and %v", l, r)
	}
	deadline := time.Now().Add(10 * time.Second) // the last end frames may be in flight
	for n := 0; n < sess.MaxStreams; {
		_, err := d.Open(ctx, &wire.RequestHead{Service: "held"})
		switch {
		case err == nil:
			n++
		case !errors.Is(err, sess.ErrBacklog) || time.Now().After(deadline):
			t.Fatalf("stream %d of %d: %v", n, sess.MaxStreams, err)
		default:
			time.Sleep(time.Millisecond)
		}
	}
	if _, err := d.Open(ctx, &wire.RequestHead{}); !errors.Is(err, sess.ErrBacklog) {
		t.Errorf("beyond MaxStreams: %v, want ErrBacklog", err)
	}
	closeBoth(d, a)
	if _, closed := right.seen(); len(closed) != 1 || !errors.Is(closed[0], sess.ErrPeerClosed) {
		t.Errorf("closed with %v", closed)
	}
}

// useStream sends a body of random length, reads the response and in some calls cancels the stream early.
func useStream(ctx context.Context, t *testing.T, s *sess.Session) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if rand.IntN(6) == 0 {
		defer time.AfterFunc(rand.N(3*time.Millisecond), cancel).Stop()
	}
	st, err := s.Open(ctx, &wire.RequestHead{})
	if err != nil {
		if ctx.Err() == nil {
			t.Error(err)
		}
		return
	}
	n := rand.IntN(400_000)
	var writer sync.WaitGroup
	writer.Go(func() {
		_, _ = st.Write(make([]byte, n))
		_ = st.CloseWrite()
	})
	if got, err := io.ReadAll(st); err == nil && len(got) != n && len(got) != 0 {
		t.Errorf("%d of %d bytes read as complete", len(got), n)
	}
	writer.Wait()
}
