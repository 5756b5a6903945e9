// Package strict decodes JSON into structs and reports all faults at once, each with its JSON path, the value found and
// the values allowed there. Unlike encoding/json, it rejects unknown and duplicate fields and field names that differ
// only in case.
package strict
