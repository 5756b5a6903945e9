// Package press learns how much tasks that fill a worker slow the serving tasks beside them, by pairs of images, and
// decides how much such tasks may work.
package press
