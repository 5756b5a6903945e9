package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"net/url"

	"trefoilramp.org/trefoilramp/internal/core/ident"
)

// MaxRecord is the size in bytes of the largest response body that is recorded.
const MaxRecord = 64 << 10

// State is the state of a claim row.
type State string

// States of a claim row; a running claim counts as lost once its Until has passed.
const (
	Running  State = "Running"
	Recorded State = "Recorded"
	Released State = "Released" // its request did not run; another request may replace the row
	Lost     State = "Lost"
)

// Response is the recorded response to a request.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// row is the stored value of a claim.
type row struct {
	Txn         ident.Txn // transaction that wrote the row
	Holder      ident.Entry
	Request     ident.Request
	Fingerprint string
	State       State
	Until       int64 // Unix time in ns after which a running claim counts as lost
	Detail      string
	Response    *Response `json:",omitempty"`
}

// Key returns the key of the row that claims an idempotency key of a service.
func Key(service, key string) string { return "claim/" + service + "/" + url.PathEscape(key) }

// Fingerprint returns a hash of the content of a request: its method, path with query, and body.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var n [8]byte // length prefix, so that different requests never hash the same bytes
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
