package cons

import (
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/plat/table"
)

// tab is the button for one section of the document in the editor's navigation.
type tab struct {
	Path   string
	Label  string
	Faults int
	Open   bool
}

// row is one element of a list section.
type row struct {
	Path   string
	Name   string
	Faults int
}

// editor is the data of the edit page.
type editor struct {
	Tabs   []tab
	Path   string
	Label  string
	IsList bool
	Rows   []row   // elements of a list section
	Adds   string  // label of an element that the button below a list adds
	Fields []field // inputs of an element or of a section without elements
	Faults []string
	Total  int // faults in the document
}

// getConfig opens the editor with the configuration in force, or with a default when there is none.
func (c *Console) getConfig(w http.ResponseWriter, r *http.Request, s session) {
	message := ""
	checkErr := c.Config.Check(r.Context())
	doc, base := model.Default(), uint64(0)
	if current := c.Config.Current(); current != nil {
		doc, base = current.Document, current.Version
	} else if checkErr != nil {
		c.render(w, http.StatusServiceUnavailable, "message.html", pageData{Title: "Store unavailable", Page: "config",
			Session: s, Message: "The configuration cannot be read now. Try again later."})
		return
	} else {
		message = "No configuration is accepted yet. This is a proposal to start from."
	}
	d, err := newDraft(base, doc)
	if err != nil {
		c.render(w, http.StatusInternalServerError, "message.html", pageData{Title: "Error", Session: s,
			Message: err.Error()})
		return
	}
	d.show(r.URL.Query().Get("View"))
	c.renderEditor(w, http.StatusOK, s, d, message)
}

// postConfig applies the fields of a page to the draft and performs the action of the pressed button.
func (c *Console) postConfig(w http.ResponseWriter, r *http.Request, s session) {
	d, err := parseDraft(r.PostForm)
	if err != nil {
		c.render(w, http.StatusBadRequest, "message.html", pageData{Title: "Form not readable", Session: s,
			Message: err.Error()})
		return
	}
	verb, argument, _ := strings.Cut(r.PostForm.Get("Action"), ":")
	switch verb {
	case "review":
		c.review(w, r, s, d, "")
		return
	case "submit":
		c.submit(w, r, s, d)
		return
	case "download":
		c.download(w, r, s, d)
		return
	case "merge", "overwrite":
		c.rebase(w, r, s, d, verb == "merge")
		return
	case "view":
		d.show(argument)
	case "add":
		err = d.add(argument)
	case "remove":
		err = d.remove(argument)
	}
	if err != nil {
		c.render(w, http.StatusBadRequest, "message.html", pageData{Title: "Form not readable", Session: s,
			Message: err.Error()})
		return
	}
	c.renderEditor(w, http.StatusOK, s, d, "")
}

func (c *Console) renderEditor(w http.ResponseWriter, status int, s session, d *draft, message string) {
	_, faults, err := d.decode()
	if err != nil {
		c.render(w, http.StatusInternalServerError, "message.html", pageData{Title: "Error", Session: s,
			Message: err.Error()})
		return
	}
	e, err := newEditor(d, faults)
	if err != nil {
		c.render(w, http.StatusBadRequest, "message.html", pageData{Title: "Error", Session: s, Message: err.Error()})
		return
	}
	c.render(w, status, "edit.html", pageData{Title: e.Label, Page: "config", Session: s, Draft: d,
		Message: message, Data: e})
}

func newEditor(d *draft, faults strict.Faults) (editor, error) {
	p, err := parsePath(d.View)
	if err != nil {
		return editor{}, err
	}
	t, ok := typeAt(p)
	if !ok {
		return editor{}, errors.Newf("the document has nothing at %s", d.View)
	}
	f := formBuilder{tree: d.tree, faults: faults, focus: new(bool)}
	e := editor{Path: d.View, Label: fieldLabel(p[0].field), IsList: t.Kind() == reflect.Slice, Total: len(faults),
		Faults: f.faultsAt(p, false)}
	for sf := range documentFields() {
		at := path{{field: sf}}
		e.Tabs = append(e.Tabs, tab{
			Path: at.String(), Label: fieldLabel(sf), Faults: countBelow(faults, at), Open: sf == p[0].field,
		})
	}
	if !e.IsList {
		e.Fields = f.structFields(p, t)
		if name, _ := get(d.tree, p.with(segment{field: "Name"})).(string); name != "" {
			e.Label += ": " + name
		}
		return e, nil
	}
	e.Adds = elementLabel(t.Elem())
	items, _ := get(d.tree, p).([]any)
	for i := range items {
		at := p.with(segment{index: i})
		name, _ := get(items[i], path{{field: "Name"}}).(string)
		if name == "" {
			name = "without a name, number " + strconv.Itoa(i+1)
		}
		e.Rows = append(e.Rows, row{Path: at.String(), Name: name, Faults: countBelow(faults, at)})
	}
	return e, nil
}

// documentFields returns an iterator over the names of the sections, in the order of the document.
func documentFields() func(func(string) bool) {
	t := reflect.TypeFor[model.Document]()
	return func(yield func(string) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i).Name) {
				return
			}
		}
	}
}

func countBelow(faults strict.Faults, p path) int {
	n, at := 0, p.String()
	for _, f := range faults {
		if rest, ok := strings.CutPrefix(f.Path, at); ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			n++
		}
	}
	return n
}

// review is the data of the review page, which compares the draft with the accepted version.
type review struct {
	Version     uint64 // accepted version
	Differences []difference
	Faults      []reviewFault
	Race        *race // nil unless the accepted version differs from the draft and its base
	CanSubmit   bool
}

// reviewFault is a fault and the page on which it can be corrected.
type reviewFault struct {
	strict.Fault
	Place string // such as Services › stock › Max body
	View  string
}

func newReviewFault(d *draft, f strict.Fault) reviewFault {
	v := reviewFault{f, placeIn(d.tree, f.Path), pageOf(f.Path)}
	if p, err := parsePath(f.Path); err == nil && len(p) > 0 {
		v.Allowed = formatAllowed(p, f.Allowed)
		if t, ok := typeAt(p); ok && isLeaf(t) {
			v.Value = formatInput(p, get(d.tree, p)) // as the operator entered it
		}
	}
	return v
}

// race describes a concurrent edit: another operator's version was accepted after the draft was started.
type race struct {
	Base   uint64
	Actual head.Revision
	Theirs []difference // from the base to the accepted version
	Mine   []difference // from the base to the draft
	Merge  bool         // whether the base is available, so that the changes can be merged
}

func (c *Console) review(w http.ResponseWriter, r *http.Request, s session, d *draft, message string) {
	status := http.StatusOK
	data, err := c.newReview(r, s, d)
	if err != nil {
		status, message = http.StatusServiceUnavailable, "The accepted version cannot be read now; your input is kept: "+err.Error()
	}
	if data.Race != nil && message != "" {
		status = http.StatusConflict
	}
	c.render(w, status, "review.html", pageData{Title: "Review", Page: "config", Session: s, Draft: d,
		Message: message, Data: data})
}

func (c *Console) newReview(r *http.Request, s session, d *draft) (review, error) {
	doc, faults, err := d.decode()
	if err != nil {
		return review{}, err
	}
	var data review
	for _, f := range faults {
		data.Faults = append(data.Faults, newReviewFault(d, f))
	}
	if err := c.Config.Check(r.Context()); err != nil {
		return data, err
	}
	accepted := c.accepted()
	data.Version = accepted.Version
	list, err := model.Diff(accepted.Document, doc)
	if err != nil {
		return data, err
	}
	data.Differences = formatDifferences(list)
	if accepted.Version != d.Base && len(list) > 0 {
		data.Race, err = c.newRace(r, d, doc, accepted)
		return data, err
	}
	data.CanSubmit = s.CanChange() && len(faults) == 0 && len(data.Differences) > 0
	return data, nil
}

// accepted returns the newest accepted version known to this entry, or an empty document with version 0.
func (c *Console) accepted() *head.Current {
	if current := c.Config.Current(); current != nil {
		return current
	}
	return &head.Current{}
}

func (c *Console) newRace(r *http.Request, d *draft, mine model.Document, accepted *head.Current) (*race, error) {
	v := &race{Base: d.Base, Actual: accepted.Revision}
	base, err := c.base(r, d.Base)
	if errors.Is(err, table.ErrNotFound) {
		return v, nil // the base is too old and no longer stored
	}
	if err != nil {
		return v, err
	}
	v.Merge = true
	theirs, err := model.Diff(base, accepted.Document)
	if err != nil {
		return v, err
	}
	changes, err := model.Diff(base, mine)
	v.Theirs, v.Mine = formatDifferences(theirs), formatDifferences(changes)
	return v, err
}

func (c *Console) base(r *http.Request, version uint64) (model.Document, error) {
	if version == 0 {
		return model.Document{}, nil
	}
	current, err := c.Config.Load(r.Context(), version)
	if err != nil {
		return model.Document{}, fmt.Errorf("read version %d: %w", version, err)
	}
	return current.Document, nil
}

// pageOf returns the page on which the value at a fault's path is edited.
func pageOf(at string) string {
	p, err := parsePath(at)
	if err != nil || len(p) == 0 {
		return defaultView
	}
	if len(p) > 1 && p[1].field == "" {
		return p[:2].String()
	}
	return p[:1].String()
}

func (c *Console) submit(w http.ResponseWriter, r *http.Request, s session, d *draft) {
	doc, faults, err := d.decode()
	if err != nil || len(faults) > 0 {
		c.review(w, r, s, d, "The document has faults and was not submitted.")
		return
	}
	if !s.CanChange() {
		c.review(w, r, s, d, "Your token may only read. Download the document for an operator who may change it.")
		return
	}
	accepted, err := c.Config.Accept(r.Context(), head.Change{Author: s.Operator, Base: d.Base, Document: doc})
	conflict := (*head.ConflictError)(nil)
	switch {
	case err == nil:
		c.render(w, http.StatusOK, "message.html", pageData{Title: "Accepted", Page: "config", Session: s,
			Message: fmt.Sprintf("Version %d is accepted and comes into force in every zone within seconds.", accepted.Version)})
	case errors.As(err, &conflict) && conflict.Earlier != 0:
		c.review(w, r, s, d, fmt.Sprintf("Your change was accepted as version %d; version %d has replaced it.",
			conflict.Earlier, conflict.Actual.Version))
	case errors.As(err, &conflict):
		c.review(w, r, s, d, "Another operator was faster. Nothing of your input is lost; compare both versions below.")
	case errors.Is(err, table.ErrUnknown):
		c.review(w, r, s, d, "The store did not say whether the change took effect. You can submit it again; it is accepted only once.")
	default:
		c.review(w, r, s, d, "The change was not accepted; your input is kept: "+err.Error())
	}
}

// rebase sets the base of the draft to the accepted version and, if withTheirs is set, merges that version's changes.
func (c *Console) rebase(w http.ResponseWriter, r *http.Request, s session, d *draft, withTheirs bool) {
	accepted := c.accepted()
	var conflicts []string
	if withTheirs {
		base, err := c.base(r, d.Base)
		if err != nil {
			c.review(w, r, s, d, "Your changes cannot be put on top now; your input is kept: "+err.Error())
			return
		}
		b, err1 := newDraft(0, base)
		t, err2 := newDraft(0, accepted.Document)
		if err := errors.CombineErrors(err1, err2); err != nil {
			c.review(w, r, s, d, err.Error())
			return
		}
		d.tree = merge("$", b.tree, t.tree, d.tree, &conflicts)
	}
	d.Base = accepted.Version
	message := fmt.Sprintf("The document is now based on version %d.", d.Base)
	if len(conflicts) > 0 {
		message += " Both of you changed these; your values were kept: " + strings.Join(slices.Compact(conflicts), ", ")
	}
	c.review(w, r, s, d, message)
}

func (c *Console) download(w http.ResponseWriter, r *http.Request, s session, d *draft) {
	doc, faults, err := d.decode()
	if err != nil || len(faults) > 0 {
		c.review(w, r, s, d, "The document has faults. Correct them before you download it.")
		return
	}
	b, err := doc.Encode()
	if err != nil {
		c.review(w, r, s, d, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Disposition", fmt.Sprintf(`attachment; filename="trefoilramp-based-on-%d.json"`, d.Base))
	w.Write(b)
}
