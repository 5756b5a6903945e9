package cons

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/core/ident"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

const (
	cookieName      = "trefoilramp-console"
	sessionLifetime = 8 * time.Hour // a working day
)

// session identifies a signed-in operator; a signed cookie carries it.
type session struct {
	Operator string
	Role     admin.Role
	Expires  int64  // s since 1970
	Nonce    string // unique per session; the CSRF token is derived from it
}

// CanChange reports whether the operator may submit a document.
func (s session) CanChange() bool { return s.Role >= admin.RoleChange }

// signer signs and verifies session cookies. Its key includes the tokens, so that replacing a token ends all sessions.
type signer struct {
	key []byte
}

func newSigner(key []byte, tokens admin.Tokens) signer {
	return signer{computeMAC(key, "console session", tokens.Fingerprint())}
}

func computeMAC(key []byte, label string, data []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(label))
	m.Write([]byte{0})
	m.Write(data)
	return m.Sum(nil)
}

func (g signer) sign(s session) (string, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("encode session: %w", err)
	}
	return encode(b) + "." + encode(computeMAC(g.key, "cookie", b)), nil
}

func (g signer) verify(cookie string, now time.Time) (session, error) {
	payload, mac, ok := strings.Cut(cookie, ".")
	b, err := base64.RawURLEncoding.DecodeString(payload)
	if !ok || err != nil {
		return session{}, errors.New("cookie is malformed")
	}
	signature, err := base64.RawURLEncoding.DecodeString(mac)
	if err != nil || !hmac.Equal(signature, computeMAC(g.key, "cookie", b)) {
		return session{}, errors.New("cookie has no valid signature")
	}
	var s session
	if err := json.Unmarshal(b, &s); err != nil {
		return session{}, fmt.Errorf("decode session: %w", err)
	}
	if now.Unix() >= s.Expires {
		return session{}, errors.New("session has expired")
	}
	return s, nil
}

func (g signer) csrf(s session) string {
	if s.Nonce == "" {
		return ""
	}
	return encode(computeMAC(g.key, "csrf", []byte(s.Nonce)))
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

// withSession calls h for requests with a valid session, and requires the CSRF token of the form for POST.
func (c *Console) withSession(h func(http.ResponseWriter, *http.Request, session)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, err := c.session(r)
		if err != nil {
			c.requireSignIn(w, r)
			return
		}
		if r.Method == http.MethodPost {
			if err := r.ParseForm(); err != nil {
				c.render(w, http.StatusBadRequest, "message.html", pageData{Title: "Form not readable", Session: s,
					Message: err.Error()})
				return
			}
			if !hmac.Equal([]byte(r.PostForm.Get("Csrf")), []byte(c.signer.csrf(s))) {
				c.render(w, http.StatusForbidden, "message.html", pageData{Title: "Form refused", Session: s,
					Message: "The form belongs to another session. Go back, reload the page and send it again."})
				return
			}
		}
		h(w, r, s)
	}
}

func (c *Console) session(r *http.Request) (session, error) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return session{}, fmt.Errorf("read cookie: %w", err)
	}
	return c.signer.verify(cookie.Value, c.Now())
}

// requireSignIn redirects to the sign-in form; for a POST it renders the form with the draft, so that no input is lost
// when the session expires during editing.
func (c *Console) requireSignIn(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Redirect(w, r, "/signin", http.StatusSeeOther)
		return
	}
	v := pageData{Title: "Sign in", Message: "Your session has ended. Sign in again; what you entered is kept."}
	if r.ParseForm() == nil {
		if d, err := parseDraft(r.PostForm); err == nil {
			v.Draft = d
		}
	}
	c.render(w, http.StatusUnauthorized, "signin.html", v)
}

func (c *Console) getSignIn(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "signin.html", pageData{Title: "Sign in"})
}

func (c *Console) postSignIn(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		c.render(w, http.StatusBadRequest, "signin.html", pageData{Title: "Sign in",
			Message: "The form could not be read."})
		return
	}
	d, err := parseDraft(r.PostForm)
	if err != nil {
		d = nil
	}
	operator := strings.TrimSpace(r.PostForm.Get("Operator"))
	role := c.Tokens.Role(strings.TrimSpace(r.PostForm.Get("Token")))
	if role == admin.RoleNone || !ident.IsName(operator) {
		event.Log(c.Log, event.ConsoleSignInFailed, zap.String("Remote", r.RemoteAddr))
		c.render(w, http.StatusUnauthorized, "signin.html", pageData{Title: "Sign in", Draft: d,
			Message: "Not signed in: enter your name, of letters, digits, dots, underscores and hyphens, and a valid token."})
		return
	}
	s := session{Operator: operator, Role: role, Expires: c.Now().Add(sessionLifetime).Unix(), Nonce: string(ident.NewTxn())}
	cookie, err := c.signer.sign(s)
	if err != nil {
		c.render(w, http.StatusInternalServerError, "signin.html", pageData{Title: "Sign in", Draft: d,
			Message: err.Error()})
		return
	}
	event.Log(c.Log, event.ConsoleSignedIn, zap.String("Operator", operator), zap.Stringer("Role", role))
	http.SetCookie(w, &http.Cookie{Name: cookieName, Value: cookie, Path: "/", HttpOnly: true, Secure: c.Secure,
		SameSite: http.SameSiteStrictMode, MaxAge: int(sessionLifetime.Seconds())})
	if d != nil {
		c.renderEditor(w, http.StatusOK, s, d, "You are signed in again.")
		return
	}
	http.Redirect(w, r, "/config", http.StatusSeeOther)
}

func (c *Console) postSignOut(w http.ResponseWriter, r *http.Request, _ session) {
	http.SetCookie(w, &http.Cookie{Name: cookieName, Path: "/", MaxAge: -1, HttpOnly: true, Secure: c.Secure,
		SameSite: http.SameSiteStrictMode})
	http.Redirect(w, r, "/signin", http.StatusSeeOther)
}
