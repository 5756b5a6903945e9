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
	Path   string // as in faults, but elements with a name are given by it: $.Services["stock"].MaxBody
	Before string // JSON; empty when absent
	After  string // JSON; empty when absent
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

// Diff returns what changes from a to b, in the order of the paths. The order of elements with names has no meaning and
// makes no difference.
func Diff(a, b Document) ([]Difference, error) {
	before, err := generic(a)
	if err != nil {
		return nil, err
	}
	after, err := generic(b)
	if err != nil {
		return nil, err
	}
	return compare(nil, "$", before, after)
}

func generic(d Document) (any, error) {
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
	before, err := show(a)
	if err != nil {
		return nil, err
	}
	after, err := show(b)
	if err != nil {
		return nil, err
	}
	return append(list, Difference{Path: path, Before: before, After: after}), nil
}

func compareFields(list []Difference, a, b map[string]any, at func(string) string) ([]Difference, error) {
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var err error
	for _, name := range names {
		if list, err = compare(list, at(name), a[name], b[name]); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// byName returns the elements of a list by their names, if each has one of its own.
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

func show(v any) (string, error) {
	if v == nil {
		return "", nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("encode value: %w", err)
	}
	return string(b), nil
}
