package strict

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// node is a JSON value with its fields in document order, including duplicates, which encoding/json drops.
type node struct {
	token  json.Token // the value, or the opening delimiter
	fields []field
	items  []node
}

// field is a member of a JSON object.
type field struct {
	name string
	node node
}

// parse reads exactly one JSON value from b.
func parse(b []byte) (node, error) {
	if err := checkSyntax(b); err != nil {
		return node{}, err
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	return parseNode(dec)
}

// checkSyntax checks all of b, including any data after the first value, and reports an error with its line and column.
func checkSyntax(b []byte) error {
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
	return readClosing(dec)
}

func parseItems(dec *json.Decoder, n *node) error {
	for dec.More() {
		v, err := parseNode(dec)
		if err != nil {
			return err
		}
		n.items = append(n.items, v)
	}
	return readClosing(dec)
}

// readClosing consumes the delimiter that ends an object or array.
func readClosing(dec *json.Decoder) error {
	if _, err := dec.Token(); err != nil {
		return fmt.Errorf("read closing bracket: %w", err)
	}
	return nil
}

// describe returns the text that a fault shows for n.
func (n node) describe() string {
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
