package model

import (
	"trefoilramp.org/trefoilramp/internal/conf/strict"
	"trefoilramp.org/trefoilramp/internal/core/ident"
)

const allowedName = "1 to 63 letters, digits, dots, underscores and hyphens that start with a letter or digit"

// CheckName records a fault unless s is a valid name.
func CheckName(c strict.Check, s string) {
	switch {
	case s == "":
		c.Missing(allowedName)
	case !ident.IsName(s):
		c.Fail(s, allowedName)
	}
}

// checkUnique records a fault if an earlier element of the list has the same name, and adds name to seen.
func checkUnique(c strict.Check, name string, seen map[string]bool) {
	if name != "" && seen[name] {
		c.Fail(name, "a name that no other element of the list has")
	}
	seen[name] = true
}

// checkReferences records a fault for each unknown or repeated name of a list; kind is what the names refer to.
func checkReferences(c strict.Check, names []string, known map[string]bool, kind string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		switch {
		case !known[name]:
			c.Index(i).Fail(name, "the name of a declared %s", kind)
		case seen[name]:
			c.Index(i).Fail(name, "each %s once", kind)
		}
		seen[name] = true
	}
}

// nameSet returns the set of the names of a list's elements.
func nameSet[T any](list []T, name func(T) string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, v := range list {
		set[name(v)] = true
	}
	return set
}
