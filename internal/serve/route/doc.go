// Package route chooses the target of a request from aging hints and from what this entry has measured itself.
package route
