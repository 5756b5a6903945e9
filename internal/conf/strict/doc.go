// Package strict reads JSON into structs and reports every fault at once, each with its JSON path, its value and what is
// allowed there. Unlike encoding/json it refuses unknown and duplicate fields and names that differ in case.
package strict
