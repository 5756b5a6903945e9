// Package model defines the configuration document that operators write, its validation and its JSON Schema. Each file
// holds one domain type with its validation.
package model
