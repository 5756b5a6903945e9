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

// difference is a changed value as the review page displays it, with the labels and units of the forms.
type difference struct {
	model.Difference
	Place string // such as Services › stock › Max body
	Kind  string // Added, Removed or Changed
	Old   []string
	New   []string
}

func formatDifferences(list []model.Difference) []difference {
	shown := make([]difference, len(list))
	for i, d := range list {
		p := parsePlace(d.Path)
		v := difference{
			Difference: d, Place: p.String(), Kind: "Changed", Old: formatValue(p, d.Before), New: formatValue(p, d.After),
		}
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

// place is a path in the document as the pages display it, with the names of elements instead of indexes if known.
type place []segment

// parsePlace parses the path of a difference. Unlike parsePath it accepts names of elements, and it never fails.
func parsePlace(at string) place {
	var p place
	rest := strings.TrimPrefix(at, "$")
	for rest != "" {
		if name, ok := strings.CutPrefix(rest, "["); ok {
			quoted, err := strconv.QuotedPrefix(name)
			if err == nil {
				element, _ := strconv.Unquote(quoted) // cannot fail after QuotedPrefix
				p = append(p, segment{name: element})
				rest = strings.TrimPrefix(name[len(quoted):], "]")
				continue
			}
			number, after, _ := strings.Cut(name, "]")
			i, _ := strconv.Atoi(number) // 0 for a malformed number, which does not occur in paths
			p = append(p, segment{index: i})
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
		p = append(p, segment{field: rest[:end]})
		rest = rest[end:]
	}
	return p
}

// String returns the labels from the top of the document to the value.
func (p place) String() string {
	labels := make([]string, len(p))
	for i, s := range p {
		switch {
		case s.field != "":
			labels[i] = fieldLabel(s.field)
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

// field returns the last field name of p, which determines the unit of the value.
func (p place) field() string {
	for _, s := range slices.Backward(p) {
		if s.field != "" {
			return s.field
		}
	}
	return ""
}

// formatValue returns the lines that describe a value in JSON; text is empty if there is no value.
func formatValue(p place, text string) []string {
	if text == "" {
		return nil
	}
	v, err := parseTree([]byte(text))
	if err != nil {
		return []string{text}
	}
	return describe(nil, nil, p, v)
}

// describe appends a line for each scalar and each list of strings in v; label holds the labels that lead to v.
func describe(lines, label []string, p place, v any) []string {
	switch v := v.(type) {
	case map[string]any:
		for _, name := range fieldNames(v) {
			lines = describe(lines, append(slices.Clip(label), fieldLabel(name)), place{{field: name}}, v[name])
		}
		return lines
	case []any:
		if isStringList(v) {
			return append(lines, line(label, formatInput(path{{field: p.field()}}, v)))
		}
		for i, item := range v {
			lines = describe(lines, append(slices.Clip(label), strconv.Itoa(i+1)), p, item)
		}
		return lines
	}
	return append(lines, line(label, formatScalar(p.field(), v)))
}

func line(label []string, value string) string {
	if len(label) == 0 {
		return value
	}
	return strings.Join(label, " › ") + ": " + value
}

func isStringList(list []any) bool {
	return !slices.ContainsFunc(list, func(v any) bool {
		_, ok := v.(string)
		return !ok
	})
}

// fieldNames returns the names of an object's fields, with Name first and the others in alphabetical order.
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

// formatScalar returns the text for a scalar, with the unit of the forms and the exact number for a size in bytes.
func formatScalar(field string, v any) string {
	switch v := v.(type) {
	case bool:
		if v {
			return "yes"
		}
		return "no"
	case json.Number:
		return formatNumber(field, v)
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

func formatNumber(field string, v json.Number) string {
	if slices.Contains(byteFields, field) {
		if short := formatBytes(v); short != v.String() {
			return short + " (" + v.String() + " bytes)"
		}
		return v.String() + " bytes"
	}
	if field == processorsField {
		return formatProcessors(v)
	}
	return v.String()
}

// placeIn returns the labels that lead to the value at a path in tree, with the names of elements that have one.
func placeIn(tree any, at string) string {
	p, err := parsePath(at)
	if err != nil {
		return at
	}
	named := make(place, len(p))
	for i, s := range p {
		named[i] = s
		if name, ok := get(tree, p[:i+1].with(segment{field: "Name"})).(string); s.field == "" && ok {
			named[i].name = name
		}
	}
	return named.String()
}

var (
	fieldNamePattern = regexp.MustCompile(`\b[A-Z][a-z]+(?:[A-Z][a-z]+)+\b`)
	numberPattern    = regexp.MustCompile(`[0-9]+`)
)

// formatAllowed returns the text of a fault at p with the labels and units of the forms.
func formatAllowed(p path, text string) string {
	field := place(p).field()
	if strings.HasPrefix(text, "quotas for ") { // a fault of all teams names the resource in its text
		field, _, _ = strings.Cut(strings.TrimPrefix(text, "quotas for "), " ")
	}
	convert := func(n string) string { return n }
	switch {
	case field == processorsField:
		convert = func(n string) string { return formatProcessors(json.Number(n)) }
	case slices.Contains(byteFields, field):
		convert = func(n string) string { return formatBytes(json.Number(n)) }
		if text == "a number" {
			text += ` of bytes, or a size such as "60 GiB"`
			convert = func(n string) string { return n }
		}
	}
	return numberPattern.ReplaceAllStringFunc(fieldNamePattern.ReplaceAllStringFunc(text, fieldLabel), convert)
}

// elementLabel returns the label of an element type with its article, such as "a service".
func elementLabel(t reflect.Type) string {
	name := strings.ToLower(fieldLabel(t.Name()))
	if strings.ContainsAny(name[:1], "aeiou") {
		return "an " + name
	}
	return "a " + name
}
