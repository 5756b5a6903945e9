// Package model holds the configuration document that operators write, one file for each domain type with its
// validation beside it.
package model
