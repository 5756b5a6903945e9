// Package head accepts versions of the configuration by compare and swap on one row of the store, and holds in each
// process the highest version seen.
package head
