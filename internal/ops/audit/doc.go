// Package audit holds the records of what operators changed. A record is written in the transaction of the change, so
// that neither exists without the other.
package audit
