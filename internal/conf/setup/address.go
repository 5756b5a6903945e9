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

// checkListen fails unless s is a host, which may be empty, and a port, where 0 lets the system choose.
func checkListen(c strict.Check, s string, required bool) {
	if s == "" {
		if required {
			c.Missing(allowedListen)
		}
		return
	}
	if _, _, ok := split(s); !ok {
		c.Fail(s, allowedListen)
	}
}

// checkDial fails unless s has a host and a port other than 0.
func checkDial(c strict.Check, s string, required bool) {
	if s == "" {
		if required {
			c.Missing(allowedDial)
		}
		return
	}
	if host, port, ok := split(s); !ok || host == "" || port == 0 {
		c.Fail(s, allowedDial)
	}
}

func split(s string) (host string, port uint64, ok bool) {
	host, service, err := net.SplitHostPort(s)
	if err != nil {
		return "", 0, false
	}
	port, err = strconv.ParseUint(service, 10, 16)
	return host, port, err == nil
}

// checkURL fails unless s is the base URL of an HTTP interface. Credentials in it would end up in logs.
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

func redactURL(u *url.URL) string {
	if u == nil {
		return "malformed URL"
	}
	return u.Redacted()
}

// checkListeners fails for each address that an earlier listener has.
func checkListeners(c strict.Check, listeners []listener) {
	seen := make(map[string]string)
	for _, l := range listeners {
		_, port, ok := split(l.address)
		if !ok || port == 0 {
			continue
		}
		if first, used := seen[l.address]; used {
			c.Field(l.name).Fail(l.address, "another address than that of %s", first)
			continue
		}
		seen[l.address] = l.name
	}
}

type listener struct {
	name    string
	address string
}

// reason returns the innermost cause of a file error, without the path that the fault already shows.
func reason(err error) error {
	if pe := (*os.PathError)(nil); errors.As(err, &pe) {
		return pe.Err
	}
	return err
}
