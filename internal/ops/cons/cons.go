package cons

import (
	"bytes"
	"context"
	"embed"
	"html/template"
	"net/http"
	"time"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// Options configure the console; Status may be nil.
type Options struct {
	Tokens admin.Tokens
	Key    []byte // secret shared by all entries; it signs session cookies
	Config admin.Config
	Audit  admin.Audit
	Status admin.Reporter
	Secure bool // whether the console is reachable over TLS only, so that cookies are restricted to it
	Log    *zap.Logger
	Now    func() time.Time // nil means time.Now
}

// Console serves the pages of the console.
type Console struct {
	Options
	signer  signer
	handler http.Handler
}

const (
	requestTimeout = 20 * time.Second
	// maxForm is the maximum size in bytes of a posted form, which contains the compressed draft and the fields of one
	// page.
	maxForm = 4 << 20
)

//go:embed page/*.html
var pageFiles embed.FS

//go:embed asset/style.css
var style []byte

var pages = template.Must(template.New("").ParseFS(pageFiles, "page/*.html"))

// New returns the console with the given options.
func New(o Options) *Console {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	c := &Console{Options: o, signer: newSigner(o.Key, o.Tokens)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /style.css", serveStyle)
	mux.HandleFunc("GET /signin", c.getSignIn)
	mux.HandleFunc("POST /signin", c.postSignIn)
	mux.HandleFunc("POST /signout", c.withSession(c.postSignOut))
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/config", http.StatusSeeOther)
	})
	mux.HandleFunc("GET /config", c.withSession(c.getConfig))
	mux.HandleFunc("POST /config", c.withSession(c.postConfig))
	mux.HandleFunc("GET /status", c.withSession(c.getStatus))
	mux.HandleFunc("GET /audit", c.withSession(c.getAudit))
	c.handler = http.NewCrossOriginProtection().Handler(mux)
	return c
}

// ServeHTTP implements http.Handler.
func (c *Console) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Referrer-Policy", "same-origin")
	h.Set("Cache-Control", "no-store")
	r.Body = http.MaxBytesReader(w, r.Body, maxForm)
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	c.handler.ServeHTTP(w, r.WithContext(ctx))
}

func serveStyle(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/css; charset=utf-8")
	w.Header().Set("Cache-Control", "max-age=3600")
	w.Write(style)
}

// pageData is the data of a page template.
type pageData struct {
	Title   string
	Page    string // current entry of the navigation
	Session session
	CSRF    string
	Message string // outcome of the last action, or an error
	Draft   *draft // nil on pages outside the editor
	Data    any
}

func (c *Console) render(w http.ResponseWriter, status int, name string, v pageData) {
	v.CSRF = c.signer.csrf(v.Session)
	var buf bytes.Buffer
	if err := pages.ExecuteTemplate(&buf, name, v); err != nil {
		event.Log(c.Log, event.AdminFailed, zap.String("Page", name), zap.Error(err))
		http.Error(w, "the page could not be rendered", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	w.Write(buf.Bytes())
}

func (c *Console) getStatus(w http.ResponseWriter, r *http.Request, s session) {
	v := pageData{Title: "Status", Page: "status", Session: s}
	if c.Status != nil {
		v.Data = c.Status.Status(r.Context())
	} else {
		v.Message = "This process reports no status."
	}
	c.render(w, http.StatusOK, "status.html", v)
}

const auditPageSize = 100 // records; page/audit.html repeats the index of the last one, 99, to link to older records

func (c *Console) getAudit(w http.ResponseWriter, r *http.Request, s session) {
	v := pageData{Title: "Audit", Page: "audit", Session: s}
	before, err := time.Parse(time.RFC3339Nano, r.URL.Query().Get("Before"))
	if err != nil {
		before = time.Time{}
	}
	records, err := c.Audit.List(r.Context(), before, auditPageSize)
	status := http.StatusOK
	if err != nil {
		status, v.Message = http.StatusServiceUnavailable, "The audit log cannot be read now: "+err.Error()
	}
	for i := range records {
		records[i].Before, records[i].After = records[i].Brief()
	}
	v.Data = records
	c.render(w, status, "audit.html", v)
}
