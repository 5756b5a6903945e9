package setup

import (
	"net"
	"net/url"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

const (
	allowedListen = "HOST:PORT to listen at, for example 127.0.0.1:7001 or :7001"
	allowedDial   = "HOST:PORT to connect to, for example 10.0.0.5:7001"
	allowedURL    = "an http or https URL, for example http://127.0.0.1:7101"
)

// checkListen records a fault unless s has a host, which may be empty, and a port; port 0 lets the system choose one.
func checkListen(c strict.Check, s string, required bool) {
	if s == "" {
		if required {
			c.Missing(allowedListen)
		}
		return
	}
	if _, _, ok := splitHostPort(s); !ok {
		c.Fail(s, allowedListen)
	}
}

// checkDial records a fault unless s has a host and a port other than 0.
func checkDial(c strict.Check, s string, required bool) {
	if s == "" {
		if required {
			c.Missing(allowedDial)
		}
		return
	}
	if host, port, ok := splitHostPort(s); !ok || host == "" || port == 0 {
		c.Fail(s, allowedDial)
	}
}

// splitHostPort splits an address with a numeric port.
func splitHostPort(s string) (host string, port uint64, ok bool) {
	host, service, err := net.SplitHostPort(s)
	if err != nil {
		return "", 0, false
	}
	port, err = strconv.ParseUint(service, 10, 16)
	return host, port, err == nil
}

// checkURL records a fault unless s is the base URL of an HTTP interface, without credentials: logs would show them.
func checkURL(c strict.Check, s string, required bool) {
	if s == "" {
		if required {
			c.Missing(allowedURL)
		}
		return
	}
	u, err := url.Parse(s)
	switch {
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "":
		c.Fail(redactURL(u), allowedURL)
	case u.User != nil:
		c.Fail(redactURL(u), "%s, without user and password", allowedURL)
	}
}

// redactURL returns u without its password, or a placeholder when u is nil because it could not be parsed.
func redactURL(u *url.URL) string {
	if u == nil {
		return "malformed URL"
	}
	return u.Redacted()
}

// checkListeners records a fault for each listener that has the same address as an earlier one.
func checkListeners(c strict.Check, listeners []listener) {
	seen := make(map[string]string)
	for _, l := range listeners {
		_, port, ok := splitHostPort(l.address)
		if !ok || port == 0 {
			continue
		}
		if first, used := seen[l.address]; used {
			c.Field(l.name).Fail(l.address, "an address that differs from that of %s", first)
			continue
		}
		seen[l.address] = l.name
	}
}

// listener is a setting with the address of a listener.
type listener struct {
	name    string
	address string
}

// fileErrorCause returns the cause of a file error without its path, which the fault already shows.
func fileErrorCause(err error) error {
	if pe := (*os.PathError)(nil); errors.As(err, &pe) {
		return pe.Err
	}
	return err
}
