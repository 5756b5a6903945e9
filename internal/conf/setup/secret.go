package setup

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

const redacted = "[redacted]"

// MinSecret is the minimum length of a secret in bytes: 128 bits of raw data, but 64 bits in hexadecimal.
const MinSecret = 16

// Secret is a key or token, given in the settings or in a file that they name. Formatting never reveals its content.
type Secret struct {
	File  string // path, relative to the settings file
	Value string // the content; filled from File if that is set
}

// String implements fmt.Stringer; it returns a placeholder.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer; it returns a placeholder.
func (Secret) GoString() string { return redacted }

// Format implements fmt.Formatter; it prints a placeholder for every verb.
func (Secret) Format(f fmt.State, _ rune) { fmt.Fprint(f, redacted) }

// MarshalText implements encoding.TextMarshaler; it returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// HideValue implements strict.Hider.
func (Secret) HideValue() {}

// Bytes returns the content of the secret.
func (s Secret) Bytes() []byte { return []byte(s.Value) }

// IsSet reports whether the settings contain the secret or name its file.
func (s Secret) IsSet() bool { return s.File != "" || s.Value != "" }

// check reads File, if set, into Value and checks the content. Faults never show it.
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
		c.Field("File").Fail(s.File, "a readable file (%v)", fileErrorCause(err))
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

// resolve returns path relative to the directory base, unless it is absolute.
func resolve(base, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}
