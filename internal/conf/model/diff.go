package model

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// Difference is one value that differs between two documents.
type Difference struct {
	Path   string // as in faults, but with the names of named elements: $.Services["stock"].MaxBody
	Before string // JSON of the old value; empty when the value was added
	After  string // JSON of the new value; empty when the value was removed
}

// String returns the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return d.Path + ": added " + d.After
	case d.After == "":
		return d.Path + ": removed " + d.Before
	}
	return d.Path + ": " + d.Before + " becomes " + d.After
}

// Diff returns the differences from a to b, sorted by path. Elements with unique names are matched by name, so a change
// of their order alone is no difference.
func Diff(a, b Document) ([]Difference, error) {
	before, err := toTree(a)
	if err != nil {
		return nil, err
	}
	after, err := toTree(b)
	if err != nil {
		return nil, err
	}
	return compare(nil, "$", before, after)
}

// toTree converts d to the values that encoding/json uses for untyped JSON.
func toTree(d Document) (any, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	return v, nil
}

// compare appends the differences between a and b, the values at path, to list.
func compare(list []Difference, path string, a, b any) ([]Difference, error) {
	if reflect.DeepEqual(a, b) {
		return list, nil
	}
	am, aIsObject := a.(map[string]any)
	bm, bIsObject := b.(map[string]any)
	if aIsObject && bIsObject {
		return compareFields(list, am, bm, func(name string) string { return path + "." + name })
	}
	an, aIsNamed := byName(a)
	bn, bIsNamed := byName(b)
	if aIsNamed && bIsNamed {
		return compareFields(list, an, bn, func(name string) string { return path + "[" + strconv.Quote(name) + "]" })
	}
	before, err := toJSON(a)
	if err != nil {
		return nil, err
	}
	after, err := toJSON(b)
	if err != nil {
		return nil, err
	}
	return append(list, Difference{Path: path, Before: before, After: after}), nil
}

// compareFields compares the members of two objects or of two lists with named elements.
func compareFields(list []Difference, a, b map[string]any, childPath func(string) string) ([]Difference, error) {
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var err error
	for _, name := range names {
		if list, err = compare(list, childPath(name), a[name], b[name]); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// byName returns the elements of a list, keyed by name, and whether all have unique names. An absent list is empty.
func byName(v any) (map[string]any, bool) {
	items, ok := v.([]any)
	if !ok && v != nil {
		return nil, false
	}
	named := make(map[string]any, len(items))
	for _, item := range items {
		object, ok := item.(map[string]any)
		if !ok {
			return nil, false
		}
		name, ok := object["Name"].(string)
		if _, used := named[name]; !ok || used {
			return nil, false
		}
		named[name] = item
	}
	return named, true
}

// toJSON returns v as JSON, or an empty string when v is absent.
func toJSON(v any) (string, error) {
	if v == nil {
		return "", nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("encode value: %w", err)
	}
	return string(b), nil
}
