// Package audit records the changes that operators make. The record of a configuration change is written in the
// transaction of the change, so that neither exists without the other; other records are written before the change.
package audit
