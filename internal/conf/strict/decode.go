package strict

import (
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// AllowedDescriber is implemented by text types that describe their allowed values.
type AllowedDescriber interface {
	// Allowed returns a description of the allowed values, for the text of a fault.
	Allowed() string
}

// Hider is implemented by types whose values must not appear in faults, such as secrets.
type Hider interface {
	// HideValue marks the type; it is never called.
	HideValue()
}

// Decode decodes one JSON value into v, a pointer to a struct, and returns all faults. It sets the fields that have no
// fault even when other fields have one.
func Decode(b []byte, v any) Faults {
	c := NewCheck()
	n, err := parse(b)
	if err != nil {
		c.add(shorten(err.Error()), "one JSON object")
		return c.Faults()
	}
	decode(c, n, reflect.ValueOf(v).Elem())
	return c.Faults()
}

func decode(c Check, n node, v reflect.Value) {
	if _, ok := v.Addr().Interface().(Hider); ok {
		c = c.Hide()
	}
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		decodeText(c, n, t)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		decodeStruct(c, n, v)
	case reflect.Slice:
		decodeSlice(c, n, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		decode(c, n, v.Elem())
	case reflect.String:
		if s, ok := n.token.(string); ok {
			v.SetString(s)
		} else {
			c.add(n.describe(), "a string")
		}
	case reflect.Bool:
		if b, ok := n.token.(bool); ok {
			v.SetBool(b)
		} else {
			c.add(n.describe(), "true or false")
		}
	default:
		decodeNumber(c, n, v)
	}
}

func decodeText(c Check, n node, t encoding.TextUnmarshaler) {
	allowed := "a string"
	if a, ok := t.(AllowedDescriber); ok {
		allowed = a.Allowed()
	}
	s, ok := n.token.(string)
	if !ok || t.UnmarshalText([]byte(s)) != nil {
		c.add(n.describe(), "%s", allowed)
	}
}

func decodeNumber(c Check, n node, v reflect.Value) {
	number, ok := n.token.(json.Number)
	if !ok {
		c.add(n.describe(), "a number")
		return
	}
	if v.CanFloat() {
		f, err := number.Float64()
		if err != nil {
			c.add(n.describe(), "a number")
			return
		}
		v.SetFloat(f)
		return
	}
	i, err := strconv.ParseInt(string(number), 10, 64)
	if err != nil || !v.CanInt() || v.OverflowInt(i) {
		c.add(n.describe(), "a whole number")
		return
	}
	v.SetInt(i)
}

func decodeSlice(c Check, n node, v reflect.Value) {
	if n.token != json.Delim('[') {
		c.add(n.describe(), "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		decode(c.Index(i), item, v.Index(i))
	}
}

func decodeStruct(c Check, n node, v reflect.Value) {
	if n.token != json.Delim('{') {
		c.add(n.describe(), "an object")
		return
	}
	names := fieldNames(v.Type())
	seen := make(map[string]bool, len(n.fields))
	for _, f := range n.fields {
		at := c.Field(f.name)
		switch {
		case !slices.Contains(names, f.name):
			at.add(unknownField, "%s", strings.Join(names, ", "))
		case seen[f.name]:
			at.add(duplicateField, "each field once")
		default:
			seen[f.name] = true
			decode(at, f.node, v.FieldByName(f.name))
		}
	}
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if f := t.Field(i); f.IsExported() {
			names = append(names, f.Name)
		}
	}
	return names
}
