//go:build review

// Command stand-3 plays the scripted cases of the third review. It starts the real programs of the cell as separate
// processes, beside stand-ins for the platform's store, its workers and its callers, and judges only what these see.
package main
