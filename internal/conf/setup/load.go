package setup

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/conf/strict"
)

const maxSettings = 64 << 10 // bytes

// load reads the settings file at path into v; check receives the directory of the file to resolve relative
// paths.
func load(path string, v any, check func(c strict.Check, base string)) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := parse(b, v, func(c strict.Check) { check(c, filepath.Dir(path)) }); err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	return nil
}

// parse decodes settings into v, runs check and returns all faults of both.
func parse(b []byte, v any, check func(c strict.Check)) error {
	if len(b) > maxSettings {
		return errors.Newf("settings have %d bytes; allowed: at most %d", len(b), maxSettings)
	}
	faults := strict.Decode(b, v)
	for _, f := range faults {
		if f.Path == "$" {
			return faults.Err()
		}
	}
	c := strict.NewCheck()
	check(c)
	return faults.Merge(c.Faults()).Err()
}
