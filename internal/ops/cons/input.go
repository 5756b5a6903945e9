package cons

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"trefoilramp.org/trefoilramp/internal/conf/model"
)

// isLeaf reports whether a value of type t is edited in a single input.
func isLeaf(t reflect.Type) bool {
	if t.Kind() == reflect.Slice {
		return t.Elem().Kind() == reflect.String
	}
	return t.Kind() != reflect.Struct
}

// byteFields lists the fields in bytes, which are displayed with a unit such as MiB and accept one.
var byteFields = []string{"Memory", "MaxBody"}

var bytesPattern = regexp.MustCompile(`^([0-9]+) *([KMGT])iB$`)

const units = "KMGT"

// parseInput returns the JSON value of the text that an operator entered at p. Text that is not a valid value of type t
// remains a string, so that validation rejects it and the form displays it again.
func parseInput(p path, t reflect.Type, text string) any {
	text = strings.TrimSpace(text)
	switch {
	case t == reflect.TypeFor[model.Duration](), t.Kind() == reflect.String:
		return text
	case t.Kind() == reflect.Bool:
		return text == "true"
	case t.Kind() == reflect.Slice:
		return parseNames(text)
	case t.Kind() == reflect.Float64:
		if f, err := strconv.ParseFloat(text, 64); err != nil || math.IsNaN(f) || !json.Valid([]byte(text)) {
			return text
		}
		return json.Number(text)
	}
	if p[len(p)-1].field == processorsField {
		return parseProcessors(text)
	}
	if m := bytesPattern.FindStringSubmatch(text); m != nil && slices.Contains(byteFields, p[len(p)-1].field) {
		return parseBytes(text, m[1], m[2])
	}
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return json.Number(strconv.FormatInt(n, 10))
	}
	return text
}

func parseBytes(text, digits, unit string) any {
	shift := 10 * (strings.Index(units, unit) + 1)
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n > math.MaxInt64>>shift {
		return text
	}
	return json.Number(strconv.FormatInt(n<<shift, 10))
}

// processorsField is the field in thousandths of a processor, displayed as processors with up to three decimals.
const processorsField = "Processors"

var processorsPattern = regexp.MustCompile(`^(-?[0-9]+)(?:\.([0-9]{1,3}))?$`)

func parseProcessors(text string) any {
	m := processorsPattern.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	n, err := strconv.ParseInt(m[1]+(m[2] + "000")[:3], 10, 64)
	if err != nil {
		return text
	}
	return json.Number(strconv.FormatInt(n, 10))
}

func formatProcessors(v json.Number) string {
	n, err := v.Int64()
	if err != nil {
		return v.String()
	}
	whole, rest := strconv.FormatInt(n/1000, 10), n%1000
	switch {
	case rest == 0:
		return whole
	case rest < 0:
		rest = -rest
		if n > -1000 {
			whole = "-0"
		}
	}
	return whole + "." + strings.TrimRight(fmt.Sprintf("%03d", rest), "0")
}

func parseNames(text string) any {
	var names []any
	for name := range strings.SplitSeq(text, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	if names == nil {
		return nil // an empty list removes the field, which is optional
	}
	return names
}

// formatInput returns the text that the input at p displays for a JSON value.
func formatInput(p path, v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		if p[len(p)-1].field == processorsField {
			return formatProcessors(v)
		}
		if slices.Contains(byteFields, p[len(p)-1].field) {
			return formatBytes(v)
		}
		return v.String()
	case []any:
		texts := make([]string, len(v))
		for i, item := range v {
			texts[i] = fmt.Sprint(item)
		}
		return strings.Join(texts, ", ")
	}
	return fmt.Sprint(v)
}

// formatBytes returns v in the largest binary unit of which it is a whole multiple.
func formatBytes(v json.Number) string {
	n, err := v.Int64()
	if err != nil || n == 0 {
		return v.String()
	}
	unit := ""
	for _, u := range units {
		if n%1024 != 0 {
			break
		}
		n, unit = n/1024, " "+string(u)+"iB"
	}
	return strconv.FormatInt(n, 10) + unit
}
