package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Role -trimprefix Role -output role_string.go

// Role is the set of rights that a token grants.
type Role uint8

// Roles of tokens; each includes the rights of the roles before it.
const (
	RoleNone Role = iota
	RoleRead
	RoleChange
)

// Tokens holds the hashes of the tokens, so that a comparison takes the same time for tokens of any length.
type Tokens struct {
	read   [sha256.Size]byte
	change [sha256.Size]byte
	isSet  bool
}

// NewTokens returns the tokens of RoleRead and RoleChange; if either is empty, no token is valid.
func NewTokens(read, change []byte) Tokens {
	return Tokens{read: sha256.Sum256(read), change: sha256.Sum256(change), isSet: len(read) > 0 && len(change) > 0}
}

// Role returns the role of a token in constant time, and RoleNone for an invalid token.
func (t Tokens) Role(token string) Role {
	hash := sha256.Sum256([]byte(token))
	read := subtle.ConstantTimeCompare(hash[:], t.read[:])
	change := subtle.ConstantTimeCompare(hash[:], t.change[:])
	switch {
	case !t.isSet || token == "":
		return RoleNone
	case change == 1:
		return RoleChange
	case read == 1:
		return RoleRead
	}
	return RoleNone
}

// OperatorHeader is the header with the operator's name for the audit log; the name is claimed, not authenticated.
const OperatorHeader = "Trefoilramp-Operator"

// DefaultOperator is recorded when a request names no operator.
const DefaultOperator = "unnamed"

func bearer(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

func operator(r *http.Request) (string, *Problem) {
	name := r.Header.Get(OperatorHeader)
	switch {
	case name == "":
		return DefaultOperator, nil
	case !ident.IsName(name):
		return "", problem(http.StatusBadRequest, OperatorHeader+" is not a name of 1 to 63 letters, digits, dots, underscores and hyphens")
	}
	return name, nil
}

// Fingerprint returns bytes that change when either token changes.
func (t Tokens) Fingerprint() []byte { return append(t.read[:], t.change[:]...) }
