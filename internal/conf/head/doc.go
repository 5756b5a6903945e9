// Package head accepts versions of the configuration by a compare-and-swap on one row of the store, and caches in each
// process the highest version seen.
package head
