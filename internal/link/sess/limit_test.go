package sess_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// faultConn is a connection whose writes a test can block, delay, discard and record.
type faultConn struct {
	net.Conn
	sem     chan struct{} // acquired by each write, and by a test to block writes; a mutex would stop the synctest clock
	delay   time.Duration
	lossy   bool // writes are discarded
	written bytes.Buffer
}

func (c *faultConn) Write(p []byte) (int, error) {
	c.sem <- struct{}{}
	defer func() { <-c.sem }()
	c.written.Write(p)
	if c.lossy {
		return len(p), nil
	}
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// faultPair opens a session over a pipe with a faultConn on each side, and returns that of the dialing side.
func faultPair(
	t *testing.T, dialing, accepting *recorder, dialDelay, acceptDelay time.Duration,
) (d, a *sess.Session, conn *faultConn) {
	t.Helper()
	left, right := net.Pipe()
	conn = &faultConn{Conn: left, sem: make(chan struct{}, 1), delay: dialDelay}
	accepted := make(chan *sess.Session, 1)
	go func() {
		s, err := sess.Accept(context.Background(),
			&faultConn{Conn: right, sem: make(chan struct{}, 1), delay: acceptDelay}, config("b"), accepting)
		if err != nil {
			t.Error(err)
		}
		accepted <- s
	}()
	d, err := sess.Connect(context.Background(), conn, config("a"), dialing)
	if err != nil {
		t.Fatal(err)
	}
	return d, <-accepted, conn
}

// frames returns n copies of the encoded frame.
func frames(t *testing.T, n int, f frame.Frame) []byte {
	t.Helper()
	var b []byte
	for range n {
		var err error
		if b, err = frame.Append(b, f); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// Guards against a session that stays open after its peer exceeds a limit or breaks the order of frames, and against a
// violation that ends another session.
func TestViolationClosesOnlyItsSession(t *testing.T) {
	head, err := wire.Pack(&wire.RequestHead{})
	if err != nil {
		t.Fatal(err)
	}
	head = append([]byte{byte(wire.KindRequestHead)}, head...)
	open := func(n uint64) []byte {
		return frames(t, 1, frame.Frame{Kind: wire.KindOpen, Stream: n, Payload: head})
	}
	data := func(n, size int) []byte {
		return frames(t, n, frame.Frame{Kind: wire.KindData, Stream: 3, Payload: make([]byte, size)})
	}
	end := frames(t, 1, frame.Frame{Kind: wire.KindEnd, Stream: 3, Payload: make([]byte, 16)})
	var tooMany []byte
	for n := range uint64(sess.MaxStreams + 1) {
		tooMany = append(tooMany, open(3+2*n)...)
	}
	damaged := open(3)
	damaged[20] ^= 1
	for name, b := range map[string][]byte{
		"beyond the window":       append(open(3), data(5, frame.MaxPayload)...),
		"many tiny frames":        append(open(3), data(sess.Window/64, 1)...),
		"window overflow":         append(open(3), frames(t, 1, frame.Frame{Kind: wire.KindWindow, Stream: 3, Payload: []byte{0, 0, 0, 1}})...),
		"malformed window":        append(open(3), frames(t, 1, frame.Frame{Kind: wire.KindWindow, Stream: 3})...),
		"malformed reset":         append(open(3), frames(t, 1, frame.Frame{Kind: wire.KindReset, Stream: 3})...),
		"never opened":            data(1, 1),
		"number reused":           append(open(3), open(3)...),
		"number of this side":     open(4),
		"too many streams":        tooMany,
		"data after the end":      append(append(open(3), end...), data(1, 1)...),
		"unknown kind":            frames(t, 1, frame.Frame{Kind: 31}),
		"malformed message":       frames(t, 1, frame.Frame{Kind: wire.KindHeartbeat, Payload: []byte{0xc1}}),
		"malformed head":          frames(t, 1, frame.Frame{Kind: wire.KindOpen, Stream: 3}),
		"malformed ping":          frames(t, 1, frame.Frame{Kind: wire.KindPing}),
		"malformed pong":          frames(t, 1, frame.Frame{Kind: wire.KindPong}),
		"damaged":                 damaged,
		"oversized":               {0, 1, 0, 1, 7, 0, 0, 0, 0, 0, 0, 0, 0},
		"handshake in the middle": frames(t, 1, frame.Frame{Kind: wire.KindHello}),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				right := &recorder{stream: func(st *sess.Stream) { <-st.Context().Done() }}
				d, a, conn := faultPair(t, &recorder{}, right, 0, 0)
				other, otherA := pair(t, &recorder{}, right)
				if _, err := conn.Write(b); err != nil {
					t.Logf("write: %v", err) // the session may close before everything is written
				}
				<-a.Done()
				a.Wait()
				d.Wait()
				_, closed := right.seen()
				if len(closed) != 1 || !errors.Is(closed[0], sess.ErrViolation) &&
					!errors.Is(closed[0], frame.ErrChecksum) && !errors.Is(closed[0], frame.ErrTooLarge) {
					t.Errorf("closed with %v, want a violation", closed)
				}
				time.Sleep(time.Minute)
				if err := other.Send(&wire.ConfigChanged{Version: 1}); err != nil {
					t.Errorf("other session: %v", err)
				}
				closeBoth(other, otherA)
				if m, _ := right.seen(); len(m) != 1 {
					t.Errorf("other session carried %d messages, want 1", len(m))
				}
			})
		})
	}
}

// Guards against a session that stays open when frames are lost or a write makes no progress. In the second case both
// sides time out at the same time, and the slower one sees the closed connection instead.
func TestSilentPeerIsClosed(t *testing.T) {
	for name, stalled := range map[string]bool{"frames are lost": false, "write is stalled": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var left, right recorder
				d, a, conn := faultPair(t, &left, &right, 0, 0)
				time.Sleep(2 * time.Minute)
				if _, closed := right.seen(); len(closed) != 0 {
					t.Fatalf("session without traffic closed with %v", closed)
				}
				conn.sem <- struct{}{}
				if conn.lossy = !stalled; conn.lossy {
					<-conn.sem
				}
				start := time.Now()
				<-a.Done()
				<-d.Done()
				if elapsed := time.Since(start); elapsed < sess.IdleTimeout-time.Second || elapsed > sess.IdleTimeout+time.Second {
					t.Errorf("closed after %v, want about %v", elapsed, sess.IdleTimeout)
				}
				if stalled {
					<-conn.sem
				}
				a.Wait()
				d.Wait()
				_, l := left.seen()
				_, r := right.seen()
				if len(l) != 1 || len(r) != 1 || !errors.Is(r[0], sess.ErrIdle) && (!stalled || !errors.Is(l[0], sess.ErrIdle)) {
					t.Errorf("closed with %v and %v, want ErrIdle", l, r)
				}
			})
		})
	}
}

// Guards against body bytes that delay control messages, and against unbounded queues while the connection is stalled.
func TestControlHasPriorityAndQueuesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		right := &recorder{stream: func(st *sess.Stream) { <-st.Context().Done() }}
		d, a, conn := faultPair(t, &recorder{}, right, 0, 0)
		time.Sleep(5500 * time.Millisecond) // between two pings
		conn.sem <- struct{}{}
		conn.written.Reset()
		if err := d.Send(&wire.ConfigChanged{}); err != nil { // the writer blocks on this message
			t.Fatal(err)
		}
		synctest.Wait()
		st, err := d.Open(context.Background(), &wire.RequestHead{})
		if err != nil {
			t.Fatal(err)
		}
		var wrote int
		go func() { wrote, _ = st.Write(make([]byte, 1<<20)) }()
		synctest.Wait()
		n := 0
		for ; err == nil; n++ {
			err = d.Send(&wire.ConfigChanged{Version: uint64(n)})
		}
		if !errors.Is(err, sess.ErrBacklog) || n > 1000 {
			t.Errorf("%d messages queued, then %v, want ErrBacklog", n, err)
		}
		if st.Sent() {
			t.Error("Sent is true before any byte was written")
		}
		<-conn.sem
		synctest.Wait()
		r := frame.NewReader(&conn.written, frame.MaxPayload)
		for range n {
			if f, err := r.Read(); err != nil || f.Kind != wire.KindConfigChanged {
				t.Fatalf("frame %v, %v before all control messages", f.Kind, err)
			}
		}
		if f, err := r.Read(); err != nil || f.Kind != wire.KindOpen {
			t.Errorf("after control messages: %v, %v", f.Kind, err)
		}
		st.Reset("test")
		synctest.Wait()
		if wrote > sess.Window+1<<16 {
			t.Errorf("%d bytes written to a stream that is not read", wrote)
		}
		closeBoth(d, a)
	})
}

// Guards against a request that runs after Sent was false and the sender has reported that it did not run.
func TestUnsentStreamNeverArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrived := 0
		right := &recorder{stream: func(*sess.Stream) { arrived++ }}
		d, a, conn := faultPair(t, &recorder{}, right, 0, 0)
		time.Sleep(5500 * time.Millisecond)
		conn.sem <- struct{}{}
		if err := d.Send(&wire.ConfigChanged{}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		st, err := d.Open(ctx, &wire.RequestHead{})
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		<-st.Context().Done()
		if st.Sent() {
			t.Error("Sent is true before any byte was written")
		}
		<-conn.sem
		time.Sleep(time.Second)
		if st.Sent() || arrived != 0 {
			t.Errorf("Sent is %v and %d streams arrived after the reset", st.Sent(), arrived)
		}
		closeBoth(d, a)
	})
}

// Guards against LocalTime extending a deadline, for symmetric and asymmetric delays. In a synctest bubble both sides
// read the same clock, so the true offset is 0.
func TestLocalTimeNeverExtendsDeadline(t *testing.T) {
	for _, tc := range []struct{ dialDelay, acceptDelay time.Duration }{{0, 0}, {3, 3}, {5, 1}, {0, 8}} {
		synctest.Test(t, func(t *testing.T) {
			d, a, _ := faultPair(t, &recorder{}, &recorder{}, tc.dialDelay*time.Millisecond, tc.acceptDelay*time.Millisecond)
			for range 3 {
				for _, s := range []*sess.Session{d, a} {
					bound := s.RoundTrip()
					if want := (tc.dialDelay + tc.acceptDelay) * time.Millisecond; bound < want || bound > 2*want {
						t.Errorf("round trip %v, want at least %v", bound, want)
					}
					deadline := time.Now().Add(time.Second)
					if got := s.LocalTime(deadline.UnixNano()); got.After(deadline) || got.Before(deadline.Add(-bound)) {
						t.Errorf("deadline moved by %v with round trip %v", got.Sub(deadline), bound)
					}
				}
				time.Sleep(30 * time.Second)
			}
			closeBoth(d, a)
		})
	}
}

// Guards against a silent connection that is noticed only when the session ends, and against a peer that counts as silent while
// the handler of this side is busy.
func TestUnansweredPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var left, right recorder
		d, a, conn := faultPair(t, &left, &right, 0, 0)
		left.busy = 4 * time.Second
		if err := a.Send(&wire.ConfigChanged{}); err != nil {
			t.Error(err)
		}
		time.Sleep(10 * time.Second)
		select {
		case <-d.Unanswered():
			t.Error("a peer that answers counts as silent")
		default:
		}
		conn.sem <- struct{}{}
		conn.lossy = true
		<-conn.sem
		began := time.Now()
		select {
		case <-d.Unanswered():
		case <-d.Done():
			t.Error("session ended before the peer counted as silent")
		}
		if took := time.Since(began); took < time.Second || took > 3*time.Second {
			t.Errorf("silent after %v; want 1 to 3 s", took)
		}
		d.Wait()
		a.Wait()
	})
}
