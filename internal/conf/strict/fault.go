package strict

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	maxShownBytes  = 80 // a longer value is truncated in a fault
	unknownField   = "unknown field"
	duplicateField = "duplicate field"
	hiddenValue    = "[hidden]"
)

// Fault describes one invalid or missing value in a document.
type Fault struct {
	Path    string // JSON path (RFC 9535), for example $.Services[2].Name
	Value   string // the value as truncated JSON, or a description of the fault or value; empty when it is missing
	Allowed string // description of the values allowed at this path
}

// String returns the fault on one line.
func (f Fault) String() string {
	switch f.Value {
	case "":
		return f.Path + ": missing; allowed: " + f.Allowed
	case unknownField, duplicateField:
		return f.Path + ": " + f.Value + "; allowed: " + f.Allowed
	}
	return f.Path + ": " + f.Value + " is not allowed; allowed: " + f.Allowed
}

// Faults lists the invalid and missing values of a document.
type Faults []Fault

// FaultsError is the error that carries a list of faults.
type FaultsError struct {
	Faults Faults
}

// Error implements error; it returns all faults on one line.
func (e *FaultsError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		parts[i] = fault.String()
	}
	return strings.Join(parts, "; ")
}

// Err returns f as a *FaultsError, or nil when there is no fault.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &FaultsError{Faults: f}
}

// FaultsOf returns the faults of a *FaultsError in the chain of err, or nil when there is none.
func FaultsOf(err error) Faults {
	if fe := (*FaultsError)(nil); errors.As(err, &fe) {
		return fe.Faults
	}
	return nil
}

// Merge returns f followed by the faults of more, without those at or below a path that f reports as undecodable. The
// struct has the zero value there, so a range check would only repeat the fault.
func (f Faults) Merge(more Faults) Faults {
	merged := append(Faults(nil), f...)
	for _, m := range more {
		if !f.covers(m.Path) {
			merged = append(merged, m)
		}
	}
	return merged
}

// covers reports whether f has a decoding fault at path or above it.
func (f Faults) covers(path string) bool {
	for _, have := range f {
		if have.Value != unknownField && have.Value != duplicateField && isAtOrBelow(path, have.Path) {
			return true
		}
	}
	return false
}

func isAtOrBelow(path, parent string) bool {
	rest, ok := strings.CutPrefix(path, parent)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// Check collects the faults at and below a path of a document.
type Check struct {
	path   string
	faults *Faults
	hide   bool
}

// NewCheck returns a check at the root of a document.
func NewCheck() Check { return Check{path: "$", faults: new(Faults)} }

// Field returns the check of a field of a struct.
func (c Check) Field(name string) Check {
	c.path += "." + name
	return c
}

// Index returns the check of an element of a list.
func (c Check) Index(i int) Check {
	c.path += "[" + strconv.Itoa(i) + "]"
	return c
}

// Hide returns a check whose faults do not show values, for use with secrets.
func (c Check) Hide() Check {
	c.hide = true
	return c
}

// Path returns the JSON path of the value that c checks.
func (c Check) Path() string { return c.path }

// Faults returns the faults recorded so far in the whole document.
func (c Check) Faults() Faults { return *c.faults }

// Fail records that v is not allowed at the path of c; allowed and args describe the allowed values as in fmt.Sprintf.
func (c Check) Fail(v any, allowed string, args ...any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(fmt.Sprint(v))
	}
	c.add(shorten(string(b)), allowed, args...)
}

// Missing records that there is no value at the path of c; allowed and args are as for Fail.
func (c Check) Missing(allowed string, args ...any) { c.add("", allowed, args...) }

func (c Check) add(value, allowed string, args ...any) {
	if len(args) > 0 {
		allowed = fmt.Sprintf(allowed, args...)
	}
	if c.hide && value != "" && value != unknownField && value != duplicateField {
		value = hiddenValue
	}
	*c.faults = append(*c.faults, Fault{Path: c.path, Value: value, Allowed: allowed})
}

// Between records a fault unless low <= v <= high.
func Between[T int | int64 | float64](c Check, v, low, high T) {
	if v >= low && v <= high { // false for NaN, so NaN is a fault
		return
	}
	c.Fail(v, "%v to %v", low, high)
}

// shorten truncates s to maxShownBytes bytes and replaces invalid UTF-8.
func shorten(s string) string {
	s = strings.ToValidUTF8(s, "?")
	if len(s) <= maxShownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
}
