package cons

import (
	"reflect"
	"strconv"
	"strings"
	"unicode"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// field is an input, a group of inputs or a list of groups on a page.
type field struct {
	Path   string
	Label  string
	Hint   string
	Kind   string // text, number, checkbox, group or list
	Value  string
	Faults []string
	Adds   string  // label of an element that the button below a list adds
	Focus  bool    // whether the input has the focus when the page opens
	Fields []field // inputs of a group, or groups of a list
}

// IsChecked reports whether a checkbox is checked.
func (f field) IsChecked() bool { return f.Value == "true" }

// Describedby returns the value of aria-describedby: the ids of the hint and of the faults, for screen readers.
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

// formBuilder builds the fields of a page.
type formBuilder struct {
	tree   any
	faults strict.Faults
	focus  *bool // whether a field has the focus; the first input with a fault receives it
}

// structFields returns the inputs for the fields of the struct type t at p.
func (f formBuilder) structFields(p path, t reflect.Type) []field {
	var list []field
	for i := range t.NumField() {
		sf := t.Field(i)
		at := p.with(segment{field: sf.Name})
		v := f.build(at, sf.Type)
		v.Label, v.Hint = fieldLabel(sf.Name), hints[t.Name()+"."+sf.Name]
		list = append(list, v)
	}
	return list
}

func (f formBuilder) build(p path, t reflect.Type) field {
	v := field{Path: p.String(), Kind: kindOf(t), Faults: f.faultsAt(p, isLeaf(t))}
	switch v.Kind {
	case "group":
		v.Fields = f.structFields(p, t)
	case "list":
		v.Adds = elementLabel(t.Elem())
		items, _ := get(f.tree, p).([]any)
		for i := range items {
			item := f.build(p.with(segment{index: i}), t.Elem())
			item.Label = fieldLabel(t.Elem().Name()) + " " + strconv.Itoa(i+1)
			v.Fields = append(v.Fields, item)
		}
	default:
		v.Value = formatInput(p, get(f.tree, p))
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

// faultsAt returns the texts of the faults at p, and of its list elements if below is set.
func (f formBuilder) faultsAt(p path, below bool) []string {
	var list []string
	at := p.String()
	for _, fault := range f.faults {
		rest, ok := strings.CutPrefix(fault.Path, at)
		if ok && (rest == "" || (below && strings.HasPrefix(rest, "["))) {
			list = append(list, "Allowed: "+formatAllowed(p, fault.Allowed))
		}
	}
	return list
}

// fieldLabel returns the label for the name of a field or type: "Max body" for MaxBody.
func fieldLabel(name string) string {
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
