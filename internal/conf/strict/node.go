package strict

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// node is a JSON value that keeps the order of fields and duplicates, which encoding/json drops.
type node struct {
	token  json.Token // the value, or the opening delimiter
	fields []field
	items  []node
}

type field struct {
	name string
	node node
}

// parse reads exactly one JSON value.
func parse(b []byte) (node, error) {
	if err := syntax(b); err != nil {
		return node{}, err
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	return parseNode(dec)
}

// syntax checks all of b, including what follows the first value, and locates an error by line and column.
func syntax(b []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(b, &raw)
	if err == nil {
		return nil
	}
	offset := int64(len(b))
	if se := (*json.SyntaxError)(nil); errors.As(err, &se) {
		offset = min(max(se.Offset-1, 0), offset)
	}
	before := b[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}

func parseNode(dec *json.Decoder) (node, error) {
	token, err := dec.Token()
	if err != nil {
		return node{}, fmt.Errorf("read value: %w", err)
	}
	n := node{token: token}
	switch token {
	case json.Delim('{'):
		err = parseFields(dec, &n)
	case json.Delim('['):
		err = parseItems(dec, &n)
	}
	return n, err
}

func parseFields(dec *json.Decoder, n *node) error {
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return fmt.Errorf("read name: %w", err)
		}
		name, ok := key.(string)
		if !ok {
			return errors.Newf("name %v is not a string", key)
		}
		v, err := parseNode(dec)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name, v})
	}
	return closing(dec)
}

func parseItems(dec *json.Decoder, n *node) error {
	for dec.More() {
		v, err := parseNode(dec)
		if err != nil {
			return err
		}
		n.items = append(n.items, v)
	}
	return closing(dec)
}

func closing(dec *json.Decoder) error {
	if _, err := dec.Token(); err != nil {
		return fmt.Errorf("read closing bracket: %w", err)
	}
	return nil
}

// show returns the value as it appears in a fault.
func (n node) show() string {
	switch n.token {
	case json.Delim('{'):
		return fmt.Sprintf("an object with %d fields", len(n.fields))
	case json.Delim('['):
		return fmt.Sprintf("a list of %d", len(n.items))
	}
	b, err := json.Marshal(n.token)
	if err != nil {
		return shorten(fmt.Sprint(n.token))
	}
	return shorten(string(b))
}
