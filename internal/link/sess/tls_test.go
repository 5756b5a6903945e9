package sess_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := authority{key: key, cert: &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}}
	return a
}

// config returns a TLS configuration with a certificate signed by a, which accepts peers signed by trusted.
func (a authority) config(t *testing.T, trusted authority, notAfter time.Time) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{"trefoilramp"}, NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	root, err := x509.CreateCertificate(rand.Reader, trusted.cert, trusted.cert, &trusted.key.PublicKey, trusted.key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(root)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: pool,
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: "trefoilramp"}
}

// Guards against a session with a peer that lacks a valid certificate or the shared key. All peers dial the same
// listener, which must continue to serve after each refusal.
func TestTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	ctx, stop := context.WithCancel(context.Background())
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := make(chan *sess.Session, 10)
	right := &recorder{}
	server := config("b")
	server.TLS = ours.config(t, ours, later)
	ended := make(chan error, 1)
	go func() { ended <- sess.Serve(ctx, ln, server, openNotifier{right, opened}) }()

	noCert := ours.config(t, ours, later)
	noCert.Certificates = nil
	wrongName := ours.config(t, ours, later)
	wrongName.ServerName = "another"
	for _, tc := range []struct {
		name string
		tls  *tls.Config
		key  []byte
		ok   bool
	}{
		{"right", ours.config(t, ours, later), key, true},
		{"wrong key", ours.config(t, ours, later), []byte("another"), false},
		{"certificate of another authority", theirs.config(t, ours, later), key, false},
		{"trusts another authority", ours.config(t, theirs, later), key, false},
		{"expired", ours.config(t, ours, past), key, false},
		{"no certificate", noCert, key, false},
		{"wrong name of the server", wrongName, key, false},
		{"plain TCP", nil, key, false},
		{"right again", ours.config(t, ours, later), key, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := config("a")
			cfg.TLS, cfg.Key = tc.tls, tc.key
			s, err := sess.Dial(ctx, ln.Addr().String(), cfg, &recorder{})
			if (err == nil) != tc.ok {
				t.Fatalf("dial: %v, want success %v", err, tc.ok)
			}
			if err != nil {
				return
			}
			if err := s.Send(&wire.ConfigChanged{Version: 7}); err != nil {
				t.Error(err)
			}
			s.Close(nil)
			s.Wait()
			(<-opened).Wait()
		})
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if m, closed := right.seen(); len(m) != 2 || len(closed) != 2 {
		t.Errorf("%d messages and %d ends of sessions, want 2 each", len(m), len(closed))
	}
}

// openNotifier is a recorder that sends the session of each message to opened.
type openNotifier struct {
	*recorder
	opened chan *sess.Session
}

func (n openNotifier) HandleMessage(s *sess.Session, m wire.Message) {
	n.recorder.HandleMessage(s, m)
	n.opened <- s
}
