package cons

import (
	"reflect"
	"slices"
	"strconv"
)

// merge is a three-way merge: it returns theirs with the changes from base to mine. Where both changed a value
// differently, it uses mine and appends the path to conflicts. List elements are matched by name if names are unique.
func merge(at string, base, theirs, mine any, conflicts *[]string) any {
	switch {
	case reflect.DeepEqual(mine, base), reflect.DeepEqual(mine, theirs):
		return theirs
	case reflect.DeepEqual(theirs, base):
		return mine
	}
	t, tok := theirs.(map[string]any)
	m, mok := mine.(map[string]any)
	if tok && mok {
		b, _ := base.(map[string]any)
		return mergeFields(func(name string) string { return at + "." + name }, b, t, m, conflicts)
	}
	tl, tnames, tok := indexByName(theirs)
	ml, mnames, mok := indexByName(mine)
	if bl, _, bok := indexByName(base); tok && mok && bok {
		element := func(name string) string { return at + "[" + strconv.Quote(name) + "]" }
		merged := mergeFields(element, bl, tl, ml, conflicts)
		return ordered(merged, append(tnames, mnames...))
	}
	*conflicts = append(*conflicts, at)
	return mine
}

func mergeFields(at func(name string) string, base, theirs, mine map[string]any, conflicts *[]string) map[string]any {
	merged := make(map[string]any)
	for _, from := range []map[string]any{theirs, mine} {
		for name := range from {
			if _, ok := merged[name]; ok {
				continue
			}
			if v := merge(at(name), base[name], theirs[name], mine[name], conflicts); v != nil {
				merged[name] = v
			}
		}
	}
	slices.Sort(*conflicts)
	return merged
}

// indexByName returns the elements of a list by name, and the names in order. It reports false if v is neither a list
// nor nil, or if an element has no name or the name of another.
func indexByName(v any) (byName map[string]any, names []string, ok bool) {
	byName = make(map[string]any)
	list, isList := v.([]any)
	if !isList && v != nil {
		return nil, nil, false
	}
	for _, item := range list {
		object, _ := item.(map[string]any)
		name, _ := object["Name"].(string)
		if _, used := byName[name]; name == "" || used {
			return nil, nil, false
		}
		byName[name] = item
		names = append(names, name)
	}
	return byName, names, true
}

// ordered returns the elements as a list in the order of names, each once; it removes them from byName.
func ordered(byName map[string]any, names []string) any {
	list := []any{}
	for _, name := range names {
		if v, ok := byName[name]; ok {
			list = append(list, v)
			delete(byName, name)
		}
	}
	return list
}
