package sess

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/frame"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Labels of the proofs; they differ so that a proof cannot be reflected to its sender.
const (
	dialerLabel   = "trefoilramp proof of the dialing side"
	acceptorLabel = "trefoilramp proof of the accepting side"
)

// proof shows that the sender holds the shared key and has read the peer's hello.
type proof struct {
	Wall int64 // wall clock of the sender, ns since 1970
	MAC  []byte
}

// goodbye tells why the sender closes the connection.
type goodbye struct {
	Reason string
}

// shaker performs the handshake on one connection. The dialing side sends its hello first, and the accepting side its
// proof first, so that each side has a sample of the peer's clock at the end.
type shaker struct {
	conn    net.Conn
	cfg     Config
	reader  *frame.Reader
	sentAt  time.Time // when own hello was sent
	readAt  time.Time // when the peer's last frame was read
	own     []byte    // hellos as sent
	peer    []byte
	hello   wire.Hello
	samples []sample
}

// shake authenticates the peer within ShakeLimit.
func shake(ctx context.Context, conn net.Conn, cfg Config, dialing bool) (*shaker, error) {
	if len(cfg.Key) == 0 {
		return nil, errors.New("shared key is empty")
	}
	if err := checkHello(cfg.Self); err != nil {
		return nil, fmt.Errorf("own hello: %w", err)
	}
	if err := conn.SetDeadline(time.Now().Add(ShakeLimit)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0)) // a failure means that the connection is closed already
	})
	h := &shaker{conn: conn, cfg: cfg, reader: frame.NewReader(conn, helloLimit)}
	steps := h.accept
	if dialing {
		steps = h.dial
	}
	err := steps()
	if !stop() {
		return nil, fmt.Errorf("handshake: %w", context.Cause(ctx))
	}
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clear deadline: %w", err)
	}
	h.reader.SetLimit(frame.MaxPayload)
	return h, nil
}

func (h *shaker) dial() error {
	if err := h.sendHello(); err != nil {
		return err
	}
	if err := h.readHello(); err != nil {
		return err
	}
	h.sample(h.hello.Wall)
	if _, err := h.readProof(acceptorLabel, h.own, h.peer); err != nil {
		return err
	}
	return h.sendProof(dialerLabel, h.own, h.peer)
}

func (h *shaker) accept() error {
	if err := h.readHello(); err != nil {
		h.refuse(err)
		return err
	}
	if err := h.sendHello(); err != nil {
		return err
	}
	if err := h.sendProof(acceptorLabel, h.peer, h.own); err != nil {
		return err
	}
	p, err := h.readProof(dialerLabel, h.peer, h.own)
	if err != nil {
		h.refuse(err)
		return err
	}
	h.sample(p.Wall)
	return nil
}

// sample uses a time that the peer read after own hello had been sent.
func (h *shaker) sample(wall int64) {
	if v, ok := newSample(h.sentAt, wall, wall, h.readAt); ok {
		h.samples = append(h.samples, v)
	}
}

func (h *shaker) sendHello() error {
	self := h.cfg.Self
	if self.Protocol == 0 {
		self.Protocol = Protocol
	}
	self.Nonce = make([]byte, nonceSize)
	rand.Read(self.Nonce) // never fails, see crypto/rand
	h.sentAt = time.Now()
	self.Wall = h.sentAt.UnixNano()
	var err error
	if h.own, err = wire.Pack(&self); err != nil {
		return err
	}
	return h.send(wire.KindHello, h.own)
}

func (h *shaker) readHello() error {
	b, err := h.read(wire.KindHello)
	if err != nil {
		return err
	}
	h.peer = append([]byte(nil), b...)
	if err := wire.Unpack(h.peer, &h.hello); err != nil {
		return fmt.Errorf("hello: %w: %w", ErrViolation, err)
	}
	if h.hello.Protocol != Protocol {
		return fmt.Errorf("version %d instead of %d: %w", h.hello.Protocol, Protocol, ErrVersion)
	}
	if len(h.hello.Nonce) != nonceSize {
		return fmt.Errorf("nonce of %d bytes: %w", len(h.hello.Nonce), ErrViolation)
	}
	if err := checkHello(h.hello); err != nil {
		return fmt.Errorf("hello: %w: %w", ErrViolation, err)
	}
	return nil
}

func checkHello(v wire.Hello) error {
	if v.Role != wire.RoleEntry && v.Role != wire.RoleAgent {
		return errors.Newf("unknown role %d", uint8(v.Role))
	}
	if !ident.IsName(v.Name) {
		return errors.Newf("%q is not a valid name", v.Name)
	}
	return nil
}

func (h *shaker) sendProof(label string, dialer, acceptor []byte) error {
	wall := time.Now().UnixNano()
	b, err := wire.Pack(&proof{Wall: wall, MAC: sign(h.cfg.Key, label, wall, dialer, acceptor)})
	if err != nil {
		return err
	}
	return h.send(wire.KindProof, b)
}

func (h *shaker) readProof(label string, dialer, acceptor []byte) (proof, error) {
	b, err := h.read(wire.KindProof)
	if err != nil {
		return proof{}, err
	}
	var p proof
	if err := wire.Unpack(b, &p); err != nil {
		return proof{}, fmt.Errorf("proof: %w: %w", ErrProof, err)
	}
	if !hmac.Equal(p.MAC, sign(h.cfg.Key, label, p.Wall, dialer, acceptor)) {
		return proof{}, ErrProof
	}
	return p, nil
}

// sign returns the HMAC over the label, the signer's wall clock and both hellos.
func sign(key []byte, label string, wall int64, dialer, acceptor []byte) []byte {
	m := hmac.New(sha256.New, key)
	var b []byte
	for _, part := range [][]byte{[]byte(label), dialer, acceptor} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(part)))
		b = append(b, part...)
	}
	m.Write(binary.BigEndian.AppendUint64(b, uint64(wall)))
	return m.Sum(nil)
}

func (h *shaker) send(k wire.Kind, payload []byte) error {
	b, err := frame.Append(nil, frame.Frame{Kind: k, Payload: payload})
	if err != nil {
		return fmt.Errorf("send %v: %w", k, err)
	}
	if _, err := h.conn.Write(b); err != nil {
		return fmt.Errorf("send %v: %w", k, err)
	}
	return nil
}

// read returns the payload of the next frame, which must be of kind k.
func (h *shaker) read(k wire.Kind) ([]byte, error) {
	f, err := h.reader.Read()
	if err != nil {
		return nil, fmt.Errorf("wait for %v: %w", k, err)
	}
	h.readAt = time.Now()
	if f.Kind == wire.KindGoodbye {
		return nil, peerGoodbye(f.Payload)
	}
	if f.Kind != k || f.Stream != 0 {
		return nil, fmt.Errorf("%v instead of %v: %w", f.Kind, k, ErrViolation)
	}
	return f.Payload, nil
}

// refuse tells the peer why; the connection is closed afterwards in any case.
func (h *shaker) refuse(reason error) {
	if b, err := wire.Pack(&goodbye{Reason: shorten(reason.Error())}); err == nil {
		_ = h.send(wire.KindGoodbye, b)
	}
}

func peerGoodbye(payload []byte) error {
	var g goodbye
	if err := wire.Unpack(payload, &g); err != nil {
		return fmt.Errorf("goodbye: %w: %w", ErrViolation, err)
	}
	return fmt.Errorf("%w: %q", ErrPeerClosed, shorten(g.Reason))
}

func shorten(s string) string {
	if len(s) > maxReason {
		return s[:maxReason]
	}
	return s
}
