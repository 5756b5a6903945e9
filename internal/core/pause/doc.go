// Package pause provides delays and periodic calls that end with a context.
package pause
