package cons

import (
	"reflect"
	"slices"
	"strconv"
)

// merge returns theirs with the changes that mine makes to base, and adds to clashes the paths that both changed
// differently; there, mine wins. Elements with names are matched by them.
func merge(at string, base, theirs, mine any, clashes *[]string) any {
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
		return mergeFields(func(name string) string { return at + "." + name }, b, t, m, clashes)
	}
	tl, tnames, tok := named(theirs)
	ml, mnames, mok := named(mine)
	if bl, _, bok := named(base); tok && mok && bok {
		element := func(name string) string { return at + "[" + strconv.Quote(name) + "]" }
		merged := mergeFields(element, bl, tl, ml, clashes)
		return ordered(merged, append(tnames, mnames...))
	}
	*clashes = append(*clashes, at)
	return mine
}

func mergeFields(at func(name string) string, base, theirs, mine map[string]any, clashes *[]string) map[string]any {
	merged := make(map[string]any)
	for _, from := range []map[string]any{theirs, mine} {
		for name := range from {
			if _, ok := merged[name]; ok {
				continue
			}
			if v := merge(at(name), base[name], theirs[name], mine[name], clashes); v != nil {
				merged[name] = v
			}
		}
	}
	slices.Sort(*clashes)
	return merged
}

// named returns the elements of a list by their names, and the names in order.
func named(v any) (byName map[string]any, names []string, ok bool) {
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
