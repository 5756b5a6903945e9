package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"net/url"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// MaxRecord is the largest body of a response that is recorded, in bytes.
const MaxRecord = 64 << 10

// State is the state of a claim row.
type State string

// States of a claim row; a running claim whose Until has passed counts as lost.
const (
	Running  State = "Running"
	Recorded State = "Recorded"
	Lost     State = "Lost"
)

// Response is the recorded answer of a request.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// row is the value of the claim row.
type row struct {
	Txn         ident.Txn // of the transaction that wrote the row
	Holder      ident.Entry
	Request     ident.Request
	Fingerprint string
	State       State
	Until       int64 // wall clock, ns since 1970, after which a running claim is lost
	Detail      string
	Response    *Response `json:",omitempty"`
}

// Key returns the key of the claim row.
func Key(service, key string) string { return "claim/" + service + "/" + url.PathEscape(key) }

// Fingerprint identifies the content of a request: its method, its path with query and its body.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var n [8]byte // the length separates the parts, so that no two requests share the hashed bytes
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
