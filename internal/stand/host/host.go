package host

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/core/event"
)

// Limits of a stand-in's process.
const (
	maxSettings   = 64 << 10 // bytes
	headerTimeout = 10 * time.Second
)

// Settings is implemented by the settings of each stand-in.
type Settings interface {
	// Check records every invalid field in c and sets absent fields to their defaults.
	Check(c strict.Check)
}

// Load reads a settings file into v and validates it. The error wraps a *strict.FaultsError if settings are invalid, or
// the read error.
func Load(path string, v Settings) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := Parse(b, v); err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	return nil
}

// Parse decodes the settings in b into v and validates them. It returns a *strict.FaultsError if any are invalid, and
// another error if b is too large.
func Parse(b []byte, v Settings) error {
	if len(b) > maxSettings {
		return errors.Newf("settings have %d bytes; allowed: at most %d", len(b), maxSettings)
	}
	faults := strict.Decode(b, v)
	for _, f := range faults {
		if f.Path == "$" { // nothing was decoded: further faults would be misleading
			return faults.Err()
		}
	}
	c := strict.NewCheck()
	v.Check(c)
	return faults.Merge(c.Faults()).Err()
}

// CheckListen records a fault in c unless s is a HOST:PORT address to listen on.
func CheckListen(c strict.Check, s string) {
	const allowed = "HOST:PORT to listen at, for example 127.0.0.1:7101"
	if s == "" {
		c.Missing(allowed)
		return
	}
	_, port, err := net.SplitHostPort(s)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		c.Fail(s, allowed)
	}
}

// CheckURL records a fault in c unless s is the base URL of an HTTP service.
func CheckURL(c strict.Check, s string) {
	const allowed = "an http URL without user, query and path, for example http://127.0.0.1:7101"
	if s == "" {
		c.Missing(allowed)
		return
	}
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.User != nil || u.RawQuery != "" ||
		(u.Path != "" && u.Path != "/") {
		c.Fail(s, allowed)
	}
}

// Listen opens a TCP listener on address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Serve serves h on l until ctx is done. It then closes l, waits at most drain for requests in progress and closes the
// connections that are left. It returns an error only if serving failed.
func Serve(ctx context.Context, l net.Listener, h http.Handler, drain time.Duration, log *zap.Logger) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(log)}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	event.Log(log, event.StandInStarted, zap.Stringer("Address", l.Addr()))
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
	defer cancel()
	if srv.Shutdown(shutdownCtx) != nil {
		srv.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	event.Log(log, event.StandInStopped, zap.Stringer("Address", l.Addr()))
	return nil
}
