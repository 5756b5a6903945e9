package cons

import (
	"reflect"
	"strconv"
	"strings"
	"unicode"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// field is one input, a group of inputs, or a list of groups on a page.
type field struct {
	Path   string
	Label  string
	Hint   string
	Kind   string // text, number, checkbox, group or list
	Value  string
	Faults []string
	Adds   string  // what the button below a list adds
	Focus  bool    // whether the page opens with the cursor here
	Fields []field // of a group, or the groups of a list
}

// IsChecked reports whether a checkbox is checked.
func (f field) IsChecked() bool { return f.Value == "true" }

// Describedby returns the identities of the texts that explain the input, for screen readers.
func (f field) Describedby() string {
	var ids []string
	if f.Hint != "" {
		ids = append(ids, f.Path+"-hint")
	}
	if len(f.Faults) > 0 {
		ids = append(ids, f.Path+"-fault")
	}
	return strings.Join(ids, " ")
}

// form builds the fields of a page.
type form struct {
	tree   any
	faults strict.Faults
	focus  *bool // whether an input has the focus already; the first with a fault gets it
}

// structFields returns a field for each field of the struct type t at p.
func (f form) structFields(p path, t reflect.Type) []field {
	var list []field
	for i := range t.NumField() {
		sf := t.Field(i)
		at := p.with(step{field: sf.Name})
		v := f.build(at, sf.Type)
		v.Label, v.Hint = words(sf.Name), hints[t.Name()+"."+sf.Name]
		list = append(list, v)
	}
	return list
}

func (f form) build(p path, t reflect.Type) field {
	v := field{Path: p.String(), Kind: kindOf(t), Faults: f.faultsAt(p, isLeaf(t))}
	switch v.Kind {
	case "group":
		v.Fields = f.structFields(p, t)
	case "list":
		v.Adds = sectionOf(t.Elem())
		items, _ := get(f.tree, p).([]any)
		for i := range items {
			item := f.build(p.with(step{index: i}), t.Elem())
			item.Label = words(t.Elem().Name()) + " " + strconv.Itoa(i+1)
			v.Fields = append(v.Fields, item)
		}
	default:
		v.Value = showInput(p, get(f.tree, p))
		v.Focus = len(v.Faults) > 0 && !*f.focus
		*f.focus = *f.focus || v.Focus
	}
	return v
}

func kindOf(t reflect.Type) string {
	switch {
	case t.Kind() == reflect.Struct:
		return "group"
	case !isLeaf(t):
		return "list"
	case t.Kind() == reflect.Bool:
		return "checkbox"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return "text"
}

// faultsAt returns the texts of the faults at p, and of those below it when p is one input.
func (f form) faultsAt(p path, below bool) []string {
	var list []string
	at := p.String()
	for _, fault := range f.faults {
		rest, ok := strings.CutPrefix(fault.Path, at)
		if ok && (rest == "" || (below && strings.HasPrefix(rest, "["))) {
			list = append(list, "Allowed: "+allowed(p, fault.Allowed))
		}
	}
	return list
}

// words turns a field name into a label: MaxBody becomes "Max body".
func words(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && unicode.IsUpper(r) {
			b.WriteByte(' ')
			r = unicode.ToLower(r)
		}
		b.WriteRune(r)
	}
	return b.String()
}
