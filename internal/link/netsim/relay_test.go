package netsim_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"trefoilramp.org/trefoilramp/internal/link/netsim"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// dialEcho starts an echo server and a relay in front of it, and opens one connection through the relay.
func dialEcho(t *testing.T) (*netsim.Relay, net.Conn) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	r, err := netsim.New(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		r.Close()
		ln.Close()
	})
	return r, c
}

// roundTrip sends one byte and returns the time until it comes back, or an error after limit.
func roundTrip(c net.Conn, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	if err := c.SetDeadline(start.Add(limit)); err != nil {
		return 0, err
	}
	if _, err := c.Write([]byte{1}); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return time.Since(start), err
}

// Guards against a relay that adds another delay than the configured one, which would distort measurements. The upper
// bound is wide because the test may run on a busy machine.
func TestDelay(t *testing.T) {
	r, c := dialEcho(t)
	for _, d := range []time.Duration{0, netsim.DelaySouss, netsim.DelayOkul} {
		r.SetDelay(netsim.Both, d, time.Millisecond)
		shortest := time.Hour
		for range 20 {
			got, err := roundTrip(c, 10*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			shortest = min(shortest, got)
		}
		if shortest < 2*d || shortest > 2*d+20*time.Millisecond {
			t.Errorf("shortest of 20 round trips %v with %v each way", shortest, d)
		}
	}
}

// Guards against a pause that lets bytes through, loses or reorders them, or buffers without bound.
func TestPauseBlocksBytes(t *testing.T) {
	r, c := dialEcho(t)
	r.SetDelay(netsim.Both, 0, 2*time.Millisecond)
	r.Pause(netsim.Backward)
	if _, err := roundTrip(c, 100*time.Millisecond); err == nil {
		t.Error("a byte passed the pause")
	}
	if err := c.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	sent := 0
	buf := make([]byte, 64<<10)
	for err := error(nil); err == nil && sent < 256<<20; {
		for i := range buf {
			buf[i] = byte((sent + i) % 251)
		}
		var n int
		n, err = c.Write(buf)
		sent += n
	}
	if sent >= 256<<20 {
		t.Errorf("%d bytes were accepted during the pause", sent)
	}
	r.Resume(netsim.Backward)
	if err := c.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 1+sent)
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	for i, b := range got[1:] {
		if b != byte(i%251) {
			t.Fatalf("byte %d is %d", i, b)
		}
	}
}

// Guards against a Drop that closes connections, a Restore that leaves them open, and a relay that accepts connections
// while it rejects them.
func TestDropAndRestore(t *testing.T) {
	r, c := dialEcho(t)
	if _, err := roundTrip(c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	r.Drop(netsim.Forward)
	if _, err := roundTrip(c, 100*time.Millisecond); err == nil || r.Connections() != 1 {
		t.Errorf("%v with %d connections after the loss, want a timeout with 1", err, r.Connections())
	}
	script := []netsim.Step{{Do: (*netsim.Relay).Restore}, {After: time.Millisecond, Do: func(r *netsim.Relay) { r.RejectConnections(true) }}}
	if err := r.Run(context.Background(), script...); err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open after Restore")
	}
	rejected, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer rejected.Close()
	if _, err := roundTrip(rejected, 10*time.Second); err == nil {
		t.Error("a connection was accepted although the relay rejects connections")
	}
}
