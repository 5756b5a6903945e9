package cons

import (
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/model"
)

// segment is one part of a path: a field of an object or an element of a list.
type segment struct {
	field string // empty for an element
	index int
	name  string // name of an element, if known; only for display
}

// path identifies a value of the document, in the same format as the paths of faults, such as $.Services[0].Name.
type path []segment

func parsePath(s string) (path, error) {
	rest, ok := strings.CutPrefix(s, "$")
	if !ok {
		return nil, errors.Newf("path %q does not start with $", s)
	}
	var p path
	for rest != "" {
		end := strings.IndexAny(rest[1:], ".[") + 1
		if end == 0 {
			end = len(rest)
		}
		part := rest[:end]
		rest = rest[end:]
		if name, ok := strings.CutPrefix(part, "."); ok && name != "" {
			p = append(p, segment{field: name})
			continue
		}
		inner := strings.TrimSuffix(strings.TrimPrefix(part, "["), "]")
		i, err := strconv.Atoi(inner)
		if err != nil || i < 0 || part != "["+inner+"]" {
			return nil, errors.Newf("path %q is malformed", s)
		}
		p = append(p, segment{index: i})
	}
	return p, nil
}

// String returns p in the format that parsePath accepts.
func (p path) String() string {
	var b strings.Builder
	b.WriteByte('$')
	for _, s := range p {
		if s.field != "" {
			b.WriteString("." + s.field)
		} else {
			b.WriteString("[" + strconv.Itoa(s.index) + "]")
		}
	}
	return b.String()
}

// parent returns the path without its last segment.
func (p path) parent() path { return p[:max(len(p)-1, 0)] }

// with returns a copy of p with one more segment.
func (p path) with(s segment) path { return append(slices.Clone(p), s) }

// typeAt returns the Go type of the value at p in model.Document.
func typeAt(p path) (reflect.Type, bool) {
	t := reflect.TypeFor[model.Document]()
	for _, s := range p {
		switch {
		case s.field != "" && t.Kind() == reflect.Struct:
			f, ok := t.FieldByName(s.field)
			if !ok {
				return nil, false
			}
			t = f.Type
		case s.field == "" && t.Kind() == reflect.Slice:
			t = t.Elem()
		default:
			return nil, false
		}
	}
	return t, true
}

// get returns the value at p in a tree of JSON values, or nil.
func get(node any, p path) any {
	for _, s := range p {
		switch n := node.(type) {
		case map[string]any:
			node = n[s.field]
		case []any:
			if s.field != "" || s.index >= len(n) {
				return nil
			}
			node = n[s.index]
		default:
			return nil
		}
	}
	return node
}

// set sets the value at p to v and returns the changed tree; a nil v removes the field or element. It creates missing
// objects along p, but no missing list elements.
func set(node any, p path, v any) any {
	if len(p) == 0 {
		return v
	}
	if s := p[0]; s.field != "" {
		n, ok := node.(map[string]any)
		if !ok {
			n = make(map[string]any)
		}
		if v == nil && len(p) == 1 {
			delete(n, s.field)
		} else {
			n[s.field] = set(n[s.field], p[1:], v)
		}
		return n
	}
	n, ok := node.([]any)
	i := p[0].index
	if !ok || i >= len(n) {
		return node
	}
	if v == nil && len(p) == 1 {
		return slices.Delete(n, i, i+1)
	}
	n[i] = set(n[i], p[1:], v)
	return n
}
