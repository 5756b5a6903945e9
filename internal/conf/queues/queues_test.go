package queues_test

import (
	"testing"

	"trefoilramp.org/trefoilramp/internal/conf/queues"
)

func table(t *testing.T, version uint64) *queues.Table {
	t.Helper()
	list := []queues.Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}
	tab, err := queues.NewTable(queues.Document{Version: version, Queues: list})
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// Guards against a request that is matched to the queue of a shorter prefix or of another host.
func TestMatch(t *testing.T) {
	tab := table(t, 1)
	for _, test := range []struct{ host, path, queue, rest string }{
		{"a.example", "/x/1", "short", "1"}, {"a.example", "/x/y/1", "long", "1"}, {"A.example:80", "/x/", "short", ""},
		{"b.example", "/x/y/1", "other", "y/1"}, {"c.example", "/x/1", "", ""}, {"a.example", "/z", "", ""},
	} {
		q, rest, ok := tab.Match(test.host, test.path)
		if ok != (test.queue != "") || ok && (q.Name != test.queue || rest != test.rest) {
			t.Errorf("%s%s: %v %q %v; want %q %q", test.host, test.path, q, rest, ok, test.queue, test.rest)
		}
	}
}

// Guards against a holder that replaces its table by one of a lower or equal version.
func TestHolderVersionOnlyIncreases(t *testing.T) {
	var h queues.Holder
	for _, test := range []struct {
		version uint64
		applied bool
	}{{3, true}, {2, false}, {3, false}, {7, true}} {
		if got := h.Put(table(t, test.version)); got != test.applied {
			t.Errorf("version %d applied: %v", test.version, got)
		}
	}
	if v := h.Table().Document.Version; v != 7 {
		t.Errorf("version %d in force", v)
	}
}

// Guards against a queue whose prefix, for lack of a leading slash, matches no request or every request by mistake.
func TestBadPrefix(t *testing.T) {
	if _, err := queues.NewTable(queues.Document{Queues: []queues.Queue{{Name: "q", Prefix: "x"}}}); err == nil {
		t.Error("a prefix without a slash is accepted")
	}
}
