package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/head"
	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/link/wire"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
	"trefoilramp.org/trefoilramp/internal/ops/audit"
	"trefoilramp.org/trefoilramp/internal/ops/metric"
	"trefoilramp.org/trefoilramp/internal/plat/table"
	"trefoilramp.org/trefoilramp/internal/stand/script"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

const (
	readToken   = "read-token-0123456789"
	changeToken = "change-token-0123456789"
)

// fakeEntry implements the interfaces through which the API uses its entry.
type fakeEntry struct {
	submitted wire.JobSpec
	submitErr error
	cancelled string
	ready     error
}

func (e *fakeEntry) Submit(_ context.Context, s wire.JobSpec) (wire.JobReply, error) {
	e.submitted = s
	if e.submitErr != nil {
		return wire.JobReply{}, e.submitErr
	}
	return wire.JobReply{Status: http.StatusCreated, Jobs: []wire.JobStatus{{Spec: s, Queued: s.Tasks}}}, nil
}

func (e *fakeEntry) List(context.Context) (wire.JobReply, error) {
	return wire.JobReply{Status: http.StatusOK}, nil
}

func (e *fakeEntry) Get(context.Context, ident.Job) (wire.JobReply, error) {
	return wire.JobReply{Status: http.StatusNotFound, Detail: "no such job"}, nil
}

func (e *fakeEntry) Cancel(_ context.Context, _ ident.Job, author string) (wire.JobReply, error) {
	e.cancelled = author
	return wire.JobReply{Status: http.StatusOK, Jobs: make([]wire.JobStatus, 1)}, nil
}

func (e *fakeEntry) HasSession(worker string) bool { return worker == "worker-1" }

func (e *fakeEntry) Drain(_ context.Context, worker string) error {
	if worker != "worker-1" {
		return admin.ErrNotFound
	}
	return nil
}

func (e *fakeEntry) Status(context.Context) admin.Status { return admin.Status{Entry: "entry-1"} }

type fixture struct {
	*fakeEntry
	store *store.Store
	api   http.Handler
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	s := store.New(store.Options{})
	e := &fakeEntry{}
	m := metric.New(nil)
	t.Cleanup(func() {
		if err := m.Close(); err != nil {
			t.Error(err)
		}
	})
	return fixture{e, s, admin.New(admin.Options{
		Tokens: admin.NewTokens([]byte(readToken), []byte(changeToken)), Config: head.New(s, head.Options{}),
		Audit: audit.Log{Store: s}, Jobs: e, Workers: e, Status: e, Metrics: m, Ready: func() error { return e.ready },
	})}
}

func (f fixture) call(method, path, token, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	r.Header.Set(admin.OperatorHeader, "amina")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.api.ServeHTTP(w, r)
	return w
}

func encode(t *testing.T, d model.Document) string {
	t.Helper()
	b, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against a resource that is served without a token or that lets RoleRead make a change.
func TestRoles(t *testing.T) {
	f := newFixture(t)
	tests := []struct {
		method, path string
		read, change int
	}{
		{"GET", "/metrics", 200, 200}, {"GET", "/v1/config", 404, 404}, {"PUT", "/v1/config", 403, 428},
		{"GET", "/v1/config/history", 200, 200}, {"GET", "/v1/jobs", 200, 200}, {"POST", "/v1/jobs", 403, 422},
		{"GET", "/v1/jobs/a", 404, 404}, {"DELETE", "/v1/jobs/a", 403, 200}, {"GET", "/v1/audit", 200, 200},
		{"GET", "/v1/status", 200, 200}, {"POST", "/v1/workers/worker-1/drain", 403, 202},
		{"POST", "/v1/workers/worker-9/drain", 403, 404},
	}
	for _, tt := range tests {
		for token, want := range map[string]int{"": 401, "wrong": 401, readToken: tt.read, changeToken: tt.change} {
			if got := f.call(tt.method, tt.path, token, "{}").Code; got != want {
				t.Errorf("%s %s with token %q: status %d, want %d", tt.method, tt.path, token, got, want)
			}
		}
	}
	f.ready = errors.New("no configuration")
	if h, r := f.call("GET", "/healthz", "", "").Code, f.call("GET", "/readyz", "", "").Code; h != 200 || r != 503 {
		t.Errorf("health %d, readiness %d, want 200 and 503", h, r)
	}
}

// Guards against changes without a base version, lost updates, a repeat that is refused although its response was lost,
// faults without a path, and changes without an audit record.
func TestConfig(t *testing.T) {
	f := newFixture(t)
	d := model.Default()
	if w := f.call("PUT", "/v1/config", changeToken, encode(t, d), "If-Match", `"0"`); w.Code != 200 || w.Header().Get("ETag") != `"1"` {
		t.Fatalf("first document: %d %s", w.Code, w.Body)
	}
	w := f.call("GET", "/v1/config", readToken, "")
	if w.Header().Get("ETag") != `"1"` || w.Body.String() != encode(t, d) {
		t.Errorf("ETag %s, body %s", w.Header().Get("ETag"), w.Body)
	}
	w = f.call("PUT", "/v1/config", changeToken, encode(t, d), "If-Match", `"0"`)
	if w.Code != 200 || w.Header().Get("ETag") != `"1"` {
		t.Errorf("repeated change: %d %s", w.Code, w.Body)
	}
	d.Teams[0].Weight = 2
	w = f.call("PUT", "/v1/config", changeToken, encode(t, d), "If-Match", `"0"`)
	var p admin.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || w.Code != 412 || p.Version != 1 {
		t.Errorf("change with an outdated base: %d %+v %v", w.Code, p, err)
	}
	d.Services[0].MaxBody = 0
	d.Teams[0].Weight = 0
	w = f.call("PUT", "/v1/config", changeToken, encode(t, d), "If-Match", `"1"`)
	p = admin.Problem{}
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || w.Code != 422 || len(p.Faults) != 2 ||
		p.Faults[0].Path != "$.Services[0].MaxBody" || w.Header().Get("Content-Type") != admin.ProblemType {
		t.Errorf("document with two faults: %d %+v %v", w.Code, p, err)
	}
	large := strings.Repeat(" ", model.MaxDocument+1)
	if w := f.call("PUT", "/v1/config", changeToken, large, "If-Match", `"1"`); w.Code != 413 {
		t.Errorf("body over the limit: %d", w.Code)
	}
	var list admin.AuditList
	if err := json.Unmarshal(f.call("GET", "/v1/audit", readToken, "").Body.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Records) != 1 || list.Records[0].Author != "amina" || list.Records[0].Version != 1 {
		t.Errorf("audit records are %+v", list.Records)
	}
}

// Guards against a store outage that is reported as a success or as an error of the operator.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t)
	if err := f.store.Faults().Set(script.Rule{Action: script.Down}); err != nil {
		t.Fatal(err)
	}
	body := encode(t, model.Default())
	if w := f.call("PUT", "/v1/config", changeToken, body, "If-Match", `"0"`); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("configuration change during a store outage: %d %s", w.Code, w.Body)
	}
	if w := f.call("DELETE", "/v1/jobs/a", changeToken, ""); w.Code != 503 || f.cancelled != "" {
		t.Errorf("cancellation without an audit record: %d %q", w.Code, f.cancelled)
	}
}

// Guards against jobs that violate the rules of their class or team, defaults that are not applied, and a submission of
// unknown outcome that cannot be repeated since its generated ID is not named.
func TestSubmit(t *testing.T) {
	f := newFixture(t)
	d := model.Default()
	d.JobClasses[0].UrgentAllowed = false
	if w := f.call("PUT", "/v1/config", changeToken, encode(t, d), "If-None-Match", "*"); w.Code != 200 {
		t.Fatal(w.Body)
	}
	tests := []struct {
		name, body string
		want       int
		path       string
	}{
		{"valid", `{"Team":"team-1","Class":"standard","Command":"plan","Tasks":3,"Job":"plan-7"}`, 201, ""},
		{"unknown team", `{"Team":"x","Class":"standard","Command":"plan","Tasks":3}`, 422, "$.Team"},
		{"urgent", `{"Team":"team-1","Class":"standard","Command":"p","Tasks":3,"Urgent":true}`, 422, "$.Urgent"},
		{"too many tasks", `{"Team":"team-1","Class":"standard","Command":"p","Tasks":10001}`, 422, "$.Tasks"},
		{"unknown field", `{"Team":"team-1","Class":"standard","Command":"p","Tasks":1,"Size":{"Cpu":1}}`, 422, "$.Size.Cpu"},
	}
	for _, tt := range tests {
		w := f.call("POST", "/v1/jobs", changeToken, tt.body)
		if w.Code != tt.want || !strings.Contains(w.Body.String(), tt.path) {
			t.Errorf("%s: %d %s", tt.name, w.Code, w.Body)
		}
	}
	s := f.submitted
	if s.Job != "plan-7" || s.RunTime != int64(10*time.Minute) || s.Size.Processors != 1000 || s.Submitter != "amina" {
		t.Errorf("submitted %+v", s)
	}
	f.submitErr = fmt.Errorf("no reply: %w", table.ErrUnknown)
	w := f.call("POST", "/v1/jobs", changeToken, `{"Team":"team-1","Class":"standard","Command":"plan","Tasks":3}`)
	if id := string(f.submitted.Job); w.Code != 504 || id == "" || !strings.Contains(w.Body.String(), id) {
		t.Errorf("submission of unknown outcome with the generated ID %q: %d %s", id, w.Code, w.Body)
	}
}
