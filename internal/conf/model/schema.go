package model

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// schema is the subset of JSON Schema (draft 2020-12) that describes the document. It has no ranges of durations and no
// rules across fields; only validation, as in trefoilramp config check, covers those.
type schema struct {
	Schema     string             `json:"$schema,omitempty"`
	Title      string             `json:"title,omitempty"`
	Type       string             `json:"type"`
	Pattern    string             `json:"pattern,omitempty"`
	Minimum    *int64             `json:"minimum,omitempty"`
	Maximum    *int64             `json:"maximum,omitempty"`
	MinItems   *int64             `json:"minItems,omitempty"`
	MaxItems   *int64             `json:"maxItems,omitempty"`
	Items      *schema            `json:"items,omitempty"`
	Properties map[string]*schema `json:"properties,omitempty"`
	Required   []string           `json:"required,omitempty"`
	Additional *bool              `json:"additionalProperties,omitempty"`
}

// durationPattern matches the texts that time.ParseDuration accepts, without a sign.
const durationPattern = `^(0|([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|ms|s|m|h))(([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|ms|s|m|h))*$`

const namePattern = `^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$` // as in ident.IsName

// Schema returns the JSON Schema of the document, which is published as docs/config.schema.json.
func Schema() ([]byte, error) {
	s := schemaOf(reflect.TypeFor[Document]())
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	s.Title = "trefoilramp configuration document"
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode schema: %w", err)
	}
	return append(b, '\n'), nil
}

// schemaOf returns the schema of a Go type.
func schemaOf(t reflect.Type) *schema {
	if t == reflect.TypeFor[Duration]() {
		return &schema{Type: "string", Pattern: durationPattern}
	}
	switch t.Kind() {
	case reflect.Struct:
		return structSchema(t)
	case reflect.Slice:
		return &schema{Type: "array", Items: schemaOf(t.Elem())}
	case reflect.String:
		return &schema{Type: "string"}
	case reflect.Bool:
		return &schema{Type: "boolean"}
	case reflect.Float64:
		return &schema{Type: "number"}
	default:
		return &schema{Type: "integer"}
	}
}

// structSchema returns the schema of a struct, which allows no additional properties.
func structSchema(t reflect.Type) *schema {
	additional := false
	s := &schema{Type: "object", Properties: make(map[string]*schema, t.NumField()), Additional: &additional}
	for i := range t.NumField() {
		f := t.Field(i)
		p := schemaOf(f.Type)
		isName := f.Name == "Name" || f.Name == "Region"
		if isName {
			p.Pattern = namePattern
		}
		isObject := f.Type.Kind() == reflect.Struct && !strings.Contains(f.Tag.Get("json"), "omit")
		b, hasBounds := ranges[t.Name()+"."+f.Name]
		if isName || isObject || (hasBounds && b.apply(p)) {
			s.Required = append(s.Required, f.Name)
		}
		s.Properties[f.Name] = p
	}
	return s
}
