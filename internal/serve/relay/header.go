package relay

import (
	"mime"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHop lists fields that end at this hop (RFC 9110, sections 7.6.1 and 11.7).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Authentication-Info",
}

// EndToEnd returns a copy of h without the fields that an intermediary must not forward, including those that
// Connection names. Values are shared with h.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+1) // room for Via
	for k, v := range h {
		if !slices.Contains(hopByHop, k) {
			out[k] = v
		}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return out
}

// AcceptsTrailers reports whether the sender of h forwards or reads trailer fields.
func AcceptsTrailers(h http.Header) bool {
	for _, v := range h["Te"] {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(textproto.TrimString(part), "trailers") {
				return true
			}
		}
	}
	return false
}

// openTypes are media types of responses that stay open until one side ends them.
var openTypes = []string{
	"text/event-stream", "application/x-ndjson", "application/json-seq", "multipart/x-mixed-replace",
}

// IsOpen reports whether the header of a response announces a stream that stays open. Such a response holds a
// connection, but no slot.
func IsOpen(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && slices.Contains(openTypes, t)
}

// names returns the keys of announced trailers.
func names(h http.Header) []string {
	if len(h) == 0 {
		return nil
	}
	list := make([]string, 0, len(h))
	for k := range h {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}
