// Package point names the steps of every protocol, so that tests can inject a fault at each of them.
package point
