package cons

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

// draft is the document that an operator edits. It is a tree of JSON values rather than a model.Document, so that
// invalid input is preserved and displayed again.
type draft struct {
	Base uint64 // version that the operator started from
	View string // path of the value on the current page
	tree any
}

const defaultView = "$.Services"

func newDraft(base uint64, d model.Document) (*draft, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	tree, err := parseTree(b)
	return &draft{Base: base, View: defaultView, tree: tree}, err
}

func parseTree(b []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber() // preserves integers above 2^53
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("decode draft: %w", err)
	}
	return tree, nil
}

// Packed returns the draft for a hidden form field; it is compressed, since html/template escapes each quote
// of the JSON with five bytes.
func (d *draft) Packed() (string, error) {
	b, err := json.Marshal(d.tree)
	if err != nil {
		return "", fmt.Errorf("encode draft: %w", err)
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(b); err != nil {
		return "", fmt.Errorf("pack draft: %w", err)
	}
	if err := w.Close(); err != nil {
		return "", fmt.Errorf("pack draft: %w", err)
	}
	return base64.StdEncoding.EncodeToString(buf.Bytes()), nil
}

func unpack(s string) (any, error) {
	r, err := gzip.NewReader(base64.NewDecoder(base64.StdEncoding, strings.NewReader(s)))
	if err != nil {
		return nil, fmt.Errorf("unpack draft: %w", err)
	}
	b, err := io.ReadAll(io.LimitReader(r, model.MaxDocument))
	if err != nil {
		return nil, fmt.Errorf("unpack draft: %w", err)
	}
	return parseTree(b)
}

// parseDraft returns the draft in a posted form, updated with the fields of the page.
func parseDraft(form url.Values) (*draft, error) {
	base, err := strconv.ParseUint(form.Get("Base"), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("read version of draft: %w", err)
	}
	tree, err := unpack(form.Get("Draft"))
	if err != nil {
		return nil, err
	}
	d := &draft{Base: base, tree: tree}
	d.show(form.Get("View"))
	for key, values := range form {
		if !strings.HasPrefix(key, "$") || len(values) == 0 {
			continue
		}
		p, err := parsePath(key)
		if err != nil {
			return nil, err
		}
		if t, ok := typeAt(p); ok && isLeaf(t) {
			// A checkbox follows a hidden field with the value for "not checked".
			d.tree = set(d.tree, p, parseInput(p, t, values[len(values)-1]))
		}
	}
	return d, nil
}

// show selects the value on the current page; it falls back to the services when the document has no such value.
func (d *draft) show(view string) {
	d.View = defaultView
	p, err := parsePath(view)
	if err != nil || len(p) == 0 || len(p) > 2 {
		return
	}
	if t, ok := typeAt(p); !ok || isLeaf(t) || (len(p) == 2 && get(d.tree, p) == nil) {
		return
	}
	d.View = view
}

// decode returns the document and all its faults; the document is complete only if there are no faults.
func (d *draft) decode() (model.Document, strict.Faults, error) {
	b, err := json.Marshal(d.tree)
	if err != nil {
		return model.Document{}, nil, fmt.Errorf("encode draft: %w", err)
	}
	doc, faults := model.Read(b)
	return doc, faults, nil
}

// add appends a default element to the list at a path, and selects the element if it has its own page.
func (d *draft) add(at string) error {
	p, err := parsePath(at)
	if err != nil {
		return err
	}
	t, ok := typeAt(p)
	if !ok || t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return errors.Newf("the document has no list at %s", at)
	}
	b, err := json.Marshal(newElement(t.Elem()))
	if err != nil {
		return fmt.Errorf("encode element: %w", err)
	}
	element, err := parseTree(b)
	if err != nil {
		return err
	}
	list, _ := get(d.tree, p).([]any)
	d.tree = set(d.tree, p, append(list, element))
	if len(p) == 1 {
		d.show(p.with(segment{index: len(list)}).String())
	}
	return nil
}

// remove deletes the element at a path, and selects the list if the element has its own page.
func (d *draft) remove(at string) error {
	p, err := parsePath(at)
	if err != nil {
		return err
	}
	if _, ok := typeAt(p); !ok || len(p) < 2 || p[len(p)-1].field != "" {
		return errors.Newf("the document has no element at %s", at)
	}
	d.tree = set(d.tree, p, nil)
	if len(p) == 2 {
		d.show(p.parent().String())
	}
	return nil
}

// newElement returns the default element of type t.
func newElement(t reflect.Type) any {
	switch t {
	case reflect.TypeFor[model.Service]():
		return model.DefaultService("")
	case reflect.TypeFor[model.JobClass]():
		return model.DefaultJobClass("")
	case reflect.TypeFor[model.Team]():
		return model.Team{Weight: 1, Quota: model.DefaultJobClass("").DefaultSize}
	case reflect.TypeFor[model.AvailabilityZone]():
		return model.DefaultZone("", "")
	case reflect.TypeFor[model.WorkerGroup]():
		return model.DefaultZone("", "").Capacity[0]
	case reflect.TypeFor[model.Route]():
		return model.Route{Path: "/"}
	}
	return reflect.Zero(t).Interface()
}
