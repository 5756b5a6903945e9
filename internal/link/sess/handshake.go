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

// Labels of the proofs; they differ so that a proof reflected to its sender is not valid.
const (
	dialerLabel   = "trefoilramp proof of the dialing side"
	acceptorLabel = "trefoilramp proof of the accepting side"
)

// proof authenticates its sender: it shows that the sender has the shared key and has read the peer's hello.
type proof struct {
	Wall int64 // wall clock of the sender, ns since 1970
	MAC  []byte
}

// goodbye carries the reason why the sender closes the connection.
type goodbye struct {
	Reason string
}

// handshake is the state of a handshake on one connection. The dialing side sends its hello first and the accepting
// side its proof first, so that each side ends with a sample of the peer's clock.
type handshake struct {
	conn      net.Conn
	cfg       Config
	reader    *frame.Reader
	sentAt    time.Time // when the local hello was sent
	readAt    time.Time // when the peer's last frame was read
	localRaw  []byte    // encoded local hello
	peerRaw   []byte    // encoded hello of the peer
	peerHello wire.Hello
	samples   []sample
}

// performHandshake authenticates the peer within HandshakeTimeout.
func performHandshake(ctx context.Context, conn net.Conn, cfg Config, dialing bool) (*handshake, error) {
	if len(cfg.Key) == 0 {
		return nil, errors.New("shared key is empty")
	}
	if err := checkHello(cfg.Self); err != nil {
		return nil, fmt.Errorf("local hello: %w", err)
	}
	if err := conn.SetDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
	})
	h := &handshake{conn: conn, cfg: cfg, reader: frame.NewReader(conn, maxHandshakePayload)}
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

// dial runs the handshake of the dialing side.
func (h *handshake) dial() error {
	if err := h.sendHello(); err != nil {
		return err
	}
	if err := h.readHello(); err != nil {
		return err
	}
	h.addSample(h.peerHello.Wall)
	if _, err := h.readProof(acceptorLabel, h.localRaw, h.peerRaw); err != nil {
		return err
	}
	return h.sendProof(dialerLabel, h.localRaw, h.peerRaw)
}

// accept runs the handshake of the accepting side. It sends the reason when it refuses the peer's hello or proof.
func (h *handshake) accept() error {
	if err := h.readHello(); err != nil {
		h.refuse(err)
		return err
	}
	if err := h.sendHello(); err != nil {
		return err
	}
	if err := h.sendProof(acceptorLabel, h.peerRaw, h.localRaw); err != nil {
		return err
	}
	p, err := h.readProof(dialerLabel, h.peerRaw, h.localRaw)
	if err != nil {
		h.refuse(err)
		return err
	}
	h.addSample(p.Wall)
	return nil
}

// addSample adds a sample from a time of the peer's clock that the peer read after the local hello was sent.
func (h *handshake) addSample(wall int64) {
	if v, ok := newSample(h.sentAt, wall, wall, h.readAt); ok {
		h.samples = append(h.samples, v)
	}
}

func (h *handshake) sendHello() error {
	self := h.cfg.Self
	if self.Protocol == 0 {
		self.Protocol = Protocol
	}
	self.Nonce = make([]byte, nonceSize)
	rand.Read(self.Nonce) // never fails, see crypto/rand
	h.sentAt = time.Now()
	self.Wall = h.sentAt.UnixNano()
	var err error
	if h.localRaw, err = wire.Pack(&self); err != nil {
		return err
	}
	return h.send(wire.KindHello, h.localRaw)
}

func (h *handshake) readHello() error {
	b, err := h.read(wire.KindHello)
	if err != nil {
		return err
	}
	h.peerRaw = append([]byte(nil), b...)
	if err := wire.Unpack(h.peerRaw, &h.peerHello); err != nil {
		return fmt.Errorf("hello: %w: %w", ErrViolation, err)
	}
	if h.peerHello.Protocol != Protocol {
		return fmt.Errorf("version %d instead of %d: %w", h.peerHello.Protocol, Protocol, ErrVersion)
	}
	if len(h.peerHello.Nonce) != nonceSize {
		return fmt.Errorf("nonce of %d bytes: %w", len(h.peerHello.Nonce), ErrViolation)
	}
	if err := checkHello(h.peerHello); err != nil {
		return fmt.Errorf("hello: %w: %w", ErrViolation, err)
	}
	return nil
}

// checkHello checks the role and name of a hello.
func checkHello(v wire.Hello) error {
	if v.Role != wire.RoleEntry && v.Role != wire.RoleAgent {
		return errors.Newf("unknown role %d", uint8(v.Role))
	}
	if !ident.IsName(v.Name) {
		return errors.Newf("%q is not a valid name", v.Name)
	}
	return nil
}

func (h *handshake) sendProof(label string, dialer, acceptor []byte) error {
	wall := time.Now().UnixNano()
	b, err := wire.Pack(&proof{Wall: wall, MAC: sign(h.cfg.Key, label, wall, dialer, acceptor)})
	if err != nil {
		return err
	}
	return h.send(wire.KindProof, b)
}

func (h *handshake) readProof(label string, dialer, acceptor []byte) (proof, error) {
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

// sign returns the HMAC over the label, both hellos and the signer's wall clock (ns since 1970).
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

func (h *handshake) send(k wire.Kind, payload []byte) error {
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
func (h *handshake) read(k wire.Kind) ([]byte, error) {
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

// refuse sends the reason to the peer. Errors are ignored, because the connection is closed afterwards in any case.
func (h *handshake) refuse(reason error) {
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
	if len(s) > maxReasonBytes {
		return s[:maxReasonBytes]
	}
	return s
}
