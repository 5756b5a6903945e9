package cons

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"trefoilramp.org/trefoilramp/internal/conf/model"
)

// difference is a changed value as the review page shows it, in the words of the forms.
type difference struct {
	model.Difference
	Place string // such as Services › stock › Max body
	Kind  string // Added, Removed or Changed
	Old   []string
	New   []string
}

func showDifferences(list []model.Difference) []difference {
	shown := make([]difference, len(list))
	for i, d := range list {
		p := placeOf(d.Path)
		v := difference{Difference: d, Place: p.String(), Kind: "Changed", Old: showValue(p, d.Before), New: showValue(p, d.After)}
		switch {
		case d.Before == "":
			v.Kind = "Added"
		case d.After == "":
			v.Kind = "Removed"
		}
		shown[i] = v
	}
	return shown
}

// place is where a value stands in the document: names of fields, and names or numbers of elements.
type place []step

// placeOf reads the path of a difference or fault. Unlike parsePath it knows elements that are given by name.
func placeOf(at string) place {
	var p place
	rest := strings.TrimPrefix(at, "$")
	for rest != "" {
		if name, ok := strings.CutPrefix(rest, "["); ok {
			quoted, err := strconv.QuotedPrefix(name)
			if err == nil {
				element, _ := strconv.Unquote(quoted) // QuotedPrefix has checked it
				p = append(p, step{name: element})
				rest = strings.TrimPrefix(name[len(quoted):], "]")
				continue
			}
			number, after, _ := strings.Cut(name, "]")
			i, _ := strconv.Atoi(number) // 0 for what is no number, which no path has
			p = append(p, step{index: i})
			rest = after
			continue
		}
		rest = strings.TrimPrefix(rest, ".")
		end := strings.IndexAny(rest, ".[")
		if end < 0 {
			end = len(rest)
		}
		if end == 0 {
			break
		}
		p = append(p, step{field: rest[:end]})
		rest = rest[end:]
	}
	return p
}

// String returns the labels on the way to the value.
func (p place) String() string {
	labels := make([]string, len(p))
	for i, s := range p {
		switch {
		case s.field != "":
			labels[i] = words(s.field)
		case s.name != "":
			labels[i] = s.name
		default:
			labels[i] = "number " + strconv.Itoa(s.index+1)
		}
	}
	if len(labels) == 0 {
		return "Document"
	}
	return strings.Join(labels, " › ")
}

// field returns the last field name of p, which decides the unit of a value.
func (p place) field() string {
	for _, s := range slices.Backward(p) {
		if s.field != "" {
			return s.field
		}
	}
	return ""
}

// showValue returns the lines that describe a value, which is JSON or empty.
func showValue(p place, text string) []string {
	if text == "" {
		return nil
	}
	v, err := parseTree([]byte(text))
	if err != nil {
		return []string{text}
	}
	return describe(nil, nil, p, v)
}

// describe appends a line for each value below v; label holds the labels from v's top to it.
func describe(lines, label []string, p place, v any) []string {
	switch v := v.(type) {
	case map[string]any:
		for _, name := range fieldNames(v) {
			lines = describe(lines, append(slices.Clip(label), words(name)), place{{field: name}}, v[name])
		}
		return lines
	case []any:
		if isNames(v) {
			return append(lines, line(label, showInput(path{{field: p.field()}}, v)))
		}
		for i, item := range v {
			lines = describe(lines, append(slices.Clip(label), strconv.Itoa(i+1)), p, item)
		}
		return lines
	}
	return append(lines, line(label, showUnit(p.field(), v)))
}

func line(label []string, value string) string {
	if len(label) == 0 {
		return value
	}
	return strings.Join(label, " › ") + ": " + value
}

func isNames(list []any) bool {
	return !slices.ContainsFunc(list, func(v any) bool {
		_, ok := v.(string)
		return !ok
	})
}

// fieldNames returns the names of an object's fields, the name first and the others as the forms order them.
func fieldNames(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if (a == "Name") != (b == "Name") {
			if a == "Name" {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return names
}

// showUnit returns a value with its unit where the forms show one, and the exact number of bytes.
func showUnit(field string, v any) string {
	switch v := v.(type) {
	case bool:
		if v {
			return "yes"
		}
		return "no"
	case json.Number:
		return showNumber(field, v)
	case string:
		if v == "" {
			return "empty"
		}
		return v
	case nil:
		return "none"
	}
	return fmt.Sprint(v)
}

func showNumber(field string, v json.Number) string {
	if slices.Contains(inBytes, field) {
		if short := showBytes(v); short != v.String() {
			return short + " (" + v.String() + " bytes)"
		}
		return v.String() + " bytes"
	}
	if field == processorsField {
		return showProcessors(v)
	}
	return v.String()
}

// placeIn returns the labels on the way to a fault, with the names of the elements that it passes.
func placeIn(tree any, at string) string {
	p, err := parsePath(at)
	if err != nil {
		return at
	}
	named := make(place, len(p))
	for i, s := range p {
		named[i] = s
		if name, ok := get(tree, p[:i+1].with(step{field: "Name"})).(string); s.field == "" && ok {
			named[i].name = name
		}
	}
	return named.String()
}

var (
	fieldNameForm = regexp.MustCompile(`\b[A-Z][a-z]+(?:[A-Z][a-z]+)+\b`)
	numberForm    = regexp.MustCompile(`[0-9]+`)
)

// allowed returns the text of a fault in the words and units of the forms.
func allowed(p path, text string) string {
	field := place(p).field()
	if strings.HasPrefix(text, "quotas for ") { // a fault of all teams names the kind in its text
		field, _, _ = strings.Cut(strings.TrimPrefix(text, "quotas for "), " ")
	}
	convert := func(n string) string { return n }
	switch {
	case field == processorsField:
		convert = func(n string) string { return showProcessors(json.Number(n)) }
	case slices.Contains(inBytes, field):
		convert = func(n string) string { return showBytes(json.Number(n)) }
		if text == "a number" {
			text += ` of bytes, or a size such as "60 GiB"`
			convert = func(n string) string { return n }
		}
	}
	return numberForm.ReplaceAllStringFunc(fieldNameForm.ReplaceAllStringFunc(text, words), convert)
}

// sectionOf returns the type of the elements in a section, in the singular: a service, a team.
func sectionOf(t reflect.Type) string {
	name := strings.ToLower(words(t.Name()))
	if strings.ContainsAny(name[:1], "aeiou") {
		return "an " + name
	}
	return "a " + name
}
