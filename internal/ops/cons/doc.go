// Package cons implements the web console: server-rendered forms whose only output is one validated configuration
// document. It is stateless: the forms carry the draft of the document, so that any entry can serve each request.
package cons
