package setup

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

const redacted = "[redacted]"

// MinSecret is the least length of a secret in bytes, 128 bits when written in hex.
const MinSecret = 16

// Secret is a key or token that the settings hold inline or name a file for. It never prints its content.
type Secret struct {
	File  string // path, relative to the settings file
	Value string
}

// String implements fmt.Stringer without the content.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer without the content.
func (Secret) GoString() string { return redacted }

// Format implements fmt.Formatter without the content, whatever the verb.
func (Secret) Format(f fmt.State, _ rune) { fmt.Fprint(f, redacted) }

// MarshalText implements encoding.TextMarshaler without the content.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// HideValue implements strict.Hider.
func (Secret) HideValue() {}

// Bytes returns the content.
func (s Secret) Bytes() []byte { return []byte(s.Value) }

// IsSet reports whether the settings name the secret.
func (s Secret) IsSet() bool { return s.File != "" || s.Value != "" }

// check reads the file of a secret into Value and checks it. Faults never show the content.
func (s *Secret) check(c strict.Check, base string, required bool) {
	if !s.IsSet() {
		if required {
			c.Missing("an object with File or Value")
		}
		return
	}
	if s.File != "" && s.Value != "" {
		c.Fail(redacted, "either File or Value")
		return
	}
	if s.File == "" {
		s.checkLength(c.Field("Value"))
		return
	}
	b, err := os.ReadFile(resolve(base, s.File))
	if err != nil {
		c.Field("File").Fail(s.File, "a readable file (%v)", reason(err))
		return
	}
	s.Value = strings.TrimSpace(string(b))
	s.checkLength(c.Field("File"))
}

func (s *Secret) checkLength(c strict.Check) {
	if len(s.Value) < MinSecret {
		c.Fail(redacted, "a secret of at least %d bytes", MinSecret)
	}
}

func resolve(base, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}
