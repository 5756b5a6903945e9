package sess_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Guards against a session without a valid proof, and against a peer that occupies a connection longer than
// HandshakeTimeout.
func TestHandshakeRefuses(t *testing.T) {
	connect := func(change func(c *sess.Config)) func(net.Conn) {
		return func(c net.Conn) {
			cfg := config("b")
			change(&cfg)
			if s, err := sess.Connect(context.Background(), c, cfg, &recorder{}); err == nil {
				s.Close(nil)
				s.Wait()
			}
		}
	}
	nonce := make([]byte, 32)
	for name, tc := range map[string]struct {
		peer    func(c net.Conn)
		want    error
		log     event.Number
		elapsed time.Duration
	}{
		"wrong key":     {connect(func(c *sess.Config) { c.Key = []byte("another key") }), nil, event.HandshakeFailed, 0},
		"wrong version": {connect(func(c *sess.Config) { c.Self.Protocol = 2 }), sess.ErrVersion, event.ProtocolRefused, 0},
		"silent":        {func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, nil, event.HandshakeFailed, sess.HandshakeTimeout},
		"reflects":      {func(c net.Conn) { _, _ = io.Copy(c, c) }, nil, event.HandshakeFailed, sess.HandshakeTimeout},
		"truncated":     {sendingPeer(helloFrame(t, wire.Hello{})[:20], true), io.ErrUnexpectedEOF, event.HandshakeFailed, 0},
		"oversized":     {sendingPeer([]byte{0, 1, 0, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0}, false), frame.ErrTooLarge, event.HandshakeFailed, 0},
		"large hello":   {sendingPeer(helloFrame(t, wire.Hello{Rack: string(make([]byte, 8<<10))}), false), frame.ErrTooLarge, event.HandshakeFailed, 0},
		"no name":       {sendingPeer(helloFrame(t, wire.Hello{Protocol: 1, Nonce: nonce}), false), sess.ErrViolation, event.HandshakeFailed, 0},
		"short nonce":   {sendingPeer(helloFrame(t, wire.Hello{Protocol: 1, Role: wire.RoleAgent, Name: "w"}), false), sess.ErrViolation, event.HandshakeFailed, 0},
		"no proof":      {sendingPeer(helloFrame(t, wire.Hello{Protocol: 1, Role: wire.RoleAgent, Name: "w", Nonce: nonce}), false), nil, event.HandshakeFailed, sess.HandshakeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				left, right := net.Pipe()
				defer left.Close()
				go tc.peer(left)
				core, logs := observer.New(zap.InfoLevel)
				cfg := config("a")
				cfg.Log = zap.New(core)
				start := time.Now()
				s, err := sess.Accept(context.Background(), right, cfg, &recorder{})
				if err == nil {
					s.Close(nil)
					t.Fatal("session opened")
				}
				if tc.want != nil && !errors.Is(err, tc.want) {
					t.Errorf("refused with %v, want %v", err, tc.want)
				}
				if elapsed := time.Since(start); elapsed != tc.elapsed {
					t.Errorf("refused after %v, want %v", elapsed, tc.elapsed)
				}
				if all := logs.All(); len(all) != 1 || all[0].ContextMap()["Event"] != int64(tc.log) {
					t.Errorf("logged %v, want event %v", all, tc.log)
				}
			})
		})
	}
}

// helloFrame returns the encoded frame of h.
func helloFrame(t *testing.T, h wire.Hello) []byte {
	t.Helper()
	b, err := wire.Pack(&h)
	if err != nil {
		t.Fatal(err)
	}
	if b, err = frame.Append(nil, frame.Frame{Kind: wire.KindHello, Payload: b}); err != nil {
		t.Fatal(err)
	}
	return b
}

// sendingPeer returns a peer that writes b, closes the connection if closes is true, and discards what it reads.
func sendingPeer(b []byte, closes bool) func(net.Conn) {
	return func(c net.Conn) {
		written := make(chan struct{})
		go func() { _, _ = c.Write(b); close(written) }()
		if closes {
			<-written
			c.Close()
		}
		_, _ = io.Copy(io.Discard, c)
	}
}
