// Package script holds the fault scripts of the stand-ins: which calls of which client are refused, delayed or lose their
// response.
package script
