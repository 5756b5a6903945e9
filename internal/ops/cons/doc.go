// Package cons is the console: server-rendered forms whose only output is one validated configuration document. It keeps
// no state between requests; the draft of a document travels in the forms, so that any entry can answer each request.
package cons
