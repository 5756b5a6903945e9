package cons_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/base64"
	"html"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/ops/cons"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

const (
	readToken   = "read-token-0123456789"
	changeToken = "change-token-0123456789"
)

// status is a reporter with a fixed status that contains HTML.
type status struct{}

func (status) Status(context.Context) admin.Status {
	return admin.Status{Entry: "entry-1", Workers: []admin.WorkerStatus{{Name: "<b>worker"}}}
}

type fixture struct {
	store   *store.Store
	config  *head.Holder
	console http.Handler
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	s := store.New(store.Options{})
	h := head.New(s, head.Options{})
	d := model.Default()
	d.Services = append(d.Services, model.DefaultService("stock"))
	if _, err := h.Accept(t.Context(), head.Change{Author: "setup", Document: d}); err != nil {
		t.Fatal(err)
	}
	return fixture{s, h, cons.New(cons.Options{
		Tokens: admin.NewTokens([]byte(readToken), []byte(changeToken)), Key: []byte("key-0123456789abcdef"),
		Config: h, Audit: audit.Log{Store: s}, Status: status{},
	})}
}

// browser simulates an operator's browser; it stores the cookie and the last page.
type browser struct {
	t      *testing.T
	f      fixture
	cookie *http.Cookie
	code   int
	page   string
	header http.Header
}

func (b *browser) send(method, target string, form url.Values) {
	b.t.Helper()
	r := httptest.NewRequestWithContext(b.t.Context(), method, target, bytes.NewBufferString(form.Encode()))
	if method == http.MethodPost {
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	if b.cookie != nil {
		r.AddCookie(b.cookie)
	}
	w := httptest.NewRecorder()
	b.f.console.ServeHTTP(w, r)
	for _, c := range w.Result().Cookies() {
		b.cookie = c
	}
	b.code, b.page, b.header = w.Code, w.Body.String(), w.Header()
}

var inputs = regexp.MustCompile(`<input ([^>]*)>`)

func attribute(tag, name string) string {
	m := regexp.MustCompile(` ?\b` + name + `="([^"]*)"`).FindStringSubmatch(tag)
	if m == nil {
		return ""
	}
	return html.UnescapeString(m[1])
}

// fields returns the inputs of the page as a browser would send them.
func (b *browser) fields() url.Values {
	form := url.Values{}
	for _, m := range inputs.FindAllStringSubmatch(b.page, -1) {
		if attribute(m[1], "type") == "checkbox" && !strings.Contains(m[1], " checked") {
			continue
		}
		form.Add(attribute(m[1], "name"), attribute(m[1], "value"))
	}
	return form
}

// press submits the form of the page with an action, after changing some inputs.
func (b *browser) press(action string, changed ...string) {
	b.t.Helper()
	form := b.fields()
	form.Set("Action", action)
	for i := 0; i+1 < len(changed); i += 2 {
		if !form.Has(changed[i]) {
			b.t.Errorf("page has no input %s", changed[i])
		}
		form.Set(changed[i], changed[i+1])
	}
	b.send(http.MethodPost, "/config", form)
}

func (b *browser) want(code int, texts ...string) {
	b.t.Helper()
	if b.code != code {
		b.t.Errorf("status %d, want %d", b.code, code)
	}
	for _, text := range texts {
		if !strings.Contains(html.UnescapeString(b.page), text) {
			b.t.Errorf("page lacks %q:\n%s", text, b.page)
		}
	}
}

func signIn(t *testing.T, f fixture, operator, token string) *browser {
	t.Helper()
	b := open(t, f, operator, token)
	b.want(http.StatusOK, "Based on version 1", "stock")
	return b
}

// Guards against access without a session, forged cookies, cross-site requests and missing security headers.
func TestAccess(t *testing.T) {
	f := newFixture(t)
	b := &browser{t: t, f: f}
	for _, target := range []string{"/config", "/status", "/audit"} {
		if b.send(http.MethodGet, target, nil); b.code != http.StatusSeeOther {
			t.Errorf("%s without sign-in: %d", target, b.code)
		}
	}
	b.send(http.MethodPost, "/signin", url.Values{"Operator": {"amina"}, "Token": {"wrong"}})
	b.want(http.StatusUnauthorized)
	if b.cookie != nil {
		t.Error("a wrong token got a cookie")
	}
	b = signIn(t, f, "amina", changeToken)
	if c := b.cookie; !c.HttpOnly || c.SameSite != http.SameSiteStrictMode {
		t.Errorf("cookie is %+v", c)
	}
	if !strings.Contains(b.header.Get("Content-Security-Policy"), "default-src 'none'") || strings.Contains(b.page, "<script") {
		t.Error("page allows scripts")
	}
	form := b.fields()
	form.Set("Csrf", "x")
	b.send(http.MethodPost, "/config", form)
	b.want(http.StatusForbidden)
	b.send(http.MethodGet, "/status", nil)
	b.want(http.StatusOK, "entry-1")
	if strings.Contains(b.page, "<b>worker") {
		t.Error("untrusted text is not escaped")
	}
	payload, mac, _ := strings.Cut(b.cookie.Value, ".")
	b.cookie.Value = payload[:len(payload)-4] + "AAAA." + mac
	b.send(http.MethodGet, "/config", nil)
	b.want(http.StatusSeeOther)
}

// Guards against invalid input that is lost or silently corrected, and faults that are not displayed at their input.
func TestInlineFaults(t *testing.T) {
	b := signIn(t, newFixture(t), "amina", changeToken)
	b.press("view:$.Services[1]")
	b.press("check", "$.Services[1].MaxBody", "many", "$.Services[1].DefaultDeadline", "1m", "$.Services[1].LongSlotShare", "NaN")
	b.want(http.StatusOK, `value="many"`, `value="1m"`, `value="NaN"`, "3 faults", `id="$.Services[1].MaxBody-fault"`)
	b.press("view:$.Policies")
	b.press("view:$.Services[1]")
	b.want(http.StatusOK, `value="many"`)
	b.press("submit")
	b.want(http.StatusOK, "was not submitted", "$.Services[1].MaxBody")
	b.press("view:$.Services[1]")
	b.press("add:$.Services[1].Routes", "$.Services[1].MaxBody", "3 MiB", "$.Services[1].DefaultDeadline", "1s",
		"$.Services[1].LongSlotShare", "0.25")
	b.press("review", "$.Services[1].Routes[0].Path", "/orders", "$.Services[1].Routes[0].Idempotent", "true")
	b.want(http.StatusOK, `$.Services["stock"].MaxBody`, "3145728", `$.Services["stock"].Routes`, "/orders", `value="submit"`)
	b.press("submit")
	b.want(http.StatusOK, "Version 2 is accepted")
	s, _ := b.f.config.Current().Document.Service("stock")
	if s.MaxBody != 3<<20 || !s.Routes[0].Idempotent || s.LongSlotShare != 0.25 {
		t.Errorf("accepted service is %+v", s)
	}
	b.send(http.MethodGet, "/audit", nil)
	b.want(http.StatusOK, "amina", "Accept")
	if regexp.MustCompile(`SHA-256 [0-9a-f]{13}`).MatchString(b.page) {
		t.Errorf("audit page has full hashes, which make its table too wide to read:\n%s", b.page)
	}
}

// Guards against concurrent edits in which the second operator loses input, does not see both versions, or overwrites
// the changes of the first without a decision, and against a repeated change that counts as that of another operator.
func TestConcurrentEdits(t *testing.T) {
	f := newFixture(t)
	first, second := signIn(t, f, "amina", changeToken), signIn(t, f, "yusuf", changeToken)
	first.press("view:$.Services[0]")
	sent := first.fields()
	sent.Set("Action", "submit")
	sent.Set("$.Services[0].MaxConnections", "99")
	first.send(http.MethodPost, "/config", sent)
	first.want(http.StatusOK, "Version 2 is accepted")
	first.send(http.MethodPost, "/config", sent)
	first.want(http.StatusOK, "Version 2 is accepted")
	second.press("add:$.Teams")
	second.press("check", "$.Teams[1].Name", "packing")
	second.press("view:$.Services[1]")
	second.press("submit", "$.Services[1].MaxConnections", "77")
	second.want(http.StatusConflict, "Another operator was faster", `$.Services["hello"].MaxConnections`,
		`$.Services["stock"].MaxConnections`, `$.Teams["packing"]`, "amina")
	if strings.Contains(second.page, `value="submit"`) {
		t.Error("the second operator can submit without a decision")
	}
	second.press("merge")
	second.want(http.StatusOK, "based on version 2")
	second.press("submit")
	second.want(http.StatusOK, "Version 3 is accepted")
	first.send(http.MethodPost, "/config", sent)
	first.want(http.StatusConflict, "accepted as version 2; version 3 has replaced it")
	d := f.config.Current().Document
	hello, _ := d.Service("hello")
	stock, _ := d.Service("stock")
	if _, ok := d.Team("packing"); !ok || hello.MaxConnections != 99 || stock.MaxConnections != 77 {
		t.Errorf("a change was lost: team %v, %d, %d", ok, hello.MaxConnections, stock.MaxConnections)
	}
}

// Guards against a merge of conflicting changes that does not report the conflict to the operator.
func TestMergeConflict(t *testing.T) {
	f := newFixture(t)
	first, second := signIn(t, f, "amina", changeToken), signIn(t, f, "yusuf", changeToken)
	first.press("view:$.Services[0]")
	first.press("submit", "$.Services[0].MaxConnections", "99")
	second.press("view:$.Services[0]")
	second.press("submit", "$.Services[0].MaxConnections", "77")
	second.press("merge")
	second.want(http.StatusOK, `your values were kept: $.Services["hello"].MaxConnections`)
}

// Guards against a submission with a read-only token, a draft that is lost during a store outage or when the session
// ends, and a download that differs from the document.
func TestKeepsDraft(t *testing.T) {
	f := newFixture(t)
	reader := signIn(t, f, "reader", readToken)
	reader.press("submit")
	reader.want(http.StatusOK, "may only read")
	reader.press("download")
	if d, err := model.Parse([]byte(reader.page)); err != nil || len(d.Services) != 2 {
		t.Errorf("download: %v", err)
	}
	b := signIn(t, f, "amina", changeToken)
	b.press("view:$.Services[0]")
	if err := f.store.Faults().Set(script.Rule{Action: script.Down}); err != nil {
		t.Fatal(err)
	}
	b.press("submit", "$.Services[0].Name", "greeting")
	b.want(http.StatusServiceUnavailable, "your input is kept")
	f.store.Faults().Clear()
	b.cookie = nil
	b.press("review")
	b.want(http.StatusUnauthorized, "what you entered is kept")
	form := b.fields()
	form.Set("Operator", "amina")
	form.Set("Token", changeToken)
	b.send(http.MethodPost, "/signin", form)
	b.want(http.StatusOK, `value="greeting"`)
}

// Guards against a crash of the console on forms that are forged or from another version of the program.
func FuzzForm(f *testing.F) {
	f.Add("view:$.Policies.AgentLease", "$.Policies", "$.Policies.AgentLease", "1s", `{"Policies":3}`)
	f.Add("remove:$.Services[7]", "$.Services[0]", "$.Services[0].Routes[3].Path", "/", `{"Services":[1,null,{"Routes":"x"}]}`)
	f.Add("add:$.AvailabilityZones[0].Capacity", "$.AvailabilityZones[0]", "$", "", `{"AvailabilityZones":[{"Capacity":{}}]}`)
	f.Add("merge", "$", "$[0]", "", `[]`)
	s := store.New(store.Options{})
	h := head.New(s, head.Options{})
	if _, err := h.Accept(f.Context(), head.Change{Author: "setup", Document: model.Default()}); err != nil {
		f.Fatal(err)
	}
	c := cons.New(cons.Options{Tokens: admin.NewTokens([]byte(readToken), []byte(changeToken)), Key: []byte("k"), Config: h,
		Audit: audit.Log{Store: s}})
	f.Fuzz(func(t *testing.T, action, view, key, value, tree string) {
		b := open(t, fixture{s, h, c}, "reader", readToken)
		form := b.fields()
		form.Set("Action", action)
		form.Set("View", view)
		form.Set(key, value)
		form.Set("Draft", pack(t, tree))
		b.send(http.MethodPost, "/config", form)
		if b.code >= http.StatusInternalServerError && b.code != http.StatusServiceUnavailable {
			t.Errorf("status %d:\n%s", b.code, b.page)
		}
	})
}

// open signs in and opens the editor.
func open(t *testing.T, f fixture, operator, token string) *browser {
	t.Helper()
	b := &browser{t: t, f: f}
	b.send(http.MethodPost, "/signin", url.Values{"Operator": {operator}, "Token": {token}})
	b.want(http.StatusSeeOther)
	b.send(http.MethodGet, "/config", nil)
	return b
}

func pack(t *testing.T, tree string) string {
	t.Helper()
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write([]byte(tree)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return base64.StdEncoding.EncodeToString(buf.Bytes())
}

// Guards against a field of the document without a hint.
func TestEveryFieldHasAHint(t *testing.T) {
	b := signIn(t, newFixture(t), "amina", changeToken)
	for _, at := range []string{"$.Services[0]", "$.JobClasses[0]", "$.Teams[0]", "$.AvailabilityZones[0]", "$.Policies"} {
		b.press("view:" + at)
		if at == "$.Services[0]" {
			b.press("add:$.Services[0].Routes")
		}
		inputs := strings.Count(b.page, "<label") + strings.Count(b.page, "<legend")
		items := strings.Count(b.page, "<button name=\"Action\" value=\"remove:")
		if hints := strings.Count(b.page, `class="hint"`); hints != inputs-items {
			t.Errorf("%s has %d hints for %d inputs", at, hints, inputs-items)
		}
	}
}
