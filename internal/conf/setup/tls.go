package setup

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// TLS names the PEM files for mutual TLS on sessions between processes.
type TLS struct {
	Certificate string
	Key         string
	Authority   string // CA certificates, one of which must have signed a peer's certificate
	ServerName  string // name that must be in the certificates of peers to which the process connects

	config *tls.Config
}

// Config returns the TLS configuration for accepting and opening sessions, or nil for plain TCP.
func (t *TLS) Config() *tls.Config {
	if t == nil {
		return nil
	}
	return t.config.Clone()
}

func (t *TLS) check(c strict.Check, base string) {
	if t == nil {
		return
	}
	ok := true
	for _, f := range []struct{ name, path string }{
		{"Certificate", t.Certificate}, {"Key", t.Key}, {"Authority", t.Authority},
	} {
		ok = checkFile(c.Field(f.name), base, f.path) && ok
	}
	if t.ServerName == "" {
		c.Field("ServerName").Missing("the name in the peers' certificates")
	}
	if !ok {
		return
	}
	if err := t.load(base); err != nil {
		c.Fail(t.Certificate, "a certificate, its key and authorities in PEM format (%v)", err)
	}
}

func (t *TLS) load(base string) error {
	pair, err := tls.LoadX509KeyPair(resolve(base, t.Certificate), resolve(base, t.Key))
	if err != nil {
		return fmt.Errorf("load key pair: %w", err)
	}
	pem, err := os.ReadFile(resolve(base, t.Authority))
	if err != nil {
		return fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.New("authority file contains no certificate")
	}
	t.config = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   t.ServerName,
	}
	return nil
}

// ServerTLS names the PEM files for TLS on the listeners for operators.
type ServerTLS struct {
	Certificate string
	Key         string

	config *tls.Config
}

// Config returns the TLS configuration of a listener, or nil for plain TCP.
func (t *ServerTLS) Config() *tls.Config {
	if t == nil {
		return nil
	}
	return t.config.Clone()
}

func (t *ServerTLS) check(c strict.Check, base string) {
	if t == nil {
		return
	}
	ok := checkFile(c.Field("Certificate"), base, t.Certificate)
	if !checkFile(c.Field("Key"), base, t.Key) || !ok {
		return
	}
	pair, err := tls.LoadX509KeyPair(resolve(base, t.Certificate), resolve(base, t.Key))
	if err != nil {
		c.Fail(t.Certificate, "a certificate and its key in PEM format (%v)", err)
		return
	}
	t.config = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
}

// checkFile records a fault unless path names a readable file, and reports whether it does.
func checkFile(c strict.Check, base, path string) bool {
	if path == "" {
		c.Missing("the path of a PEM file")
		return false
	}
	f, err := os.Open(resolve(base, path))
	if err != nil {
		c.Fail(path, "a readable file (%v)", fileErrorCause(err))
		return false
	}
	if err := f.Close(); err != nil {
		c.Fail(path, "a readable file (%v)", fileErrorCause(err))
		return false
	}
	return true
}
