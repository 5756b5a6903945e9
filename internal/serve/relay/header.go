package relay

import (
	"mime"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110, sections 7.6.1 and 11.7).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Authentication-Info",
}

// EndToEnd returns a copy of h without the fields that an intermediary must not forward, including those listed in
// Connection. The copy shares its values with h.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+1) // one more for Via
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

// AcceptsTrailers reports whether the sender of h accepts trailer fields.
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

// streamingTypes are the media types of responses that have no end until one side closes them.
var streamingTypes = []string{
	"text/event-stream", "application/x-ndjson", "application/json-seq", "multipart/x-mixed-replace",
}

// IsStreaming reports whether the header of a response announces a long-lived stream. Such a response occupies a
// connection, but no slot.
func IsStreaming(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && slices.Contains(streamingTypes, t)
}

// trailerNames returns the sorted names of the announced trailers.
func trailerNames(h http.Header) []string {
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
