package entry_test

import (
	"context"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"trefoilramp.org/trefoilramp/internal/conf/setup"
	"trefoilramp.org/trefoilramp/internal/role/entry"
	"trefoilramp.org/trefoilramp/internal/serve/front"
	"trefoilramp.org/trefoilramp/internal/stand/store"
)

// Guards against responses without an outcome, for example a redirect from a router that cleans the path.
func TestEveryResponseHasOutcome(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	e, err := entry.New(ctx, entry.Config{
		Settings: setup.Entry{
			Name: "e1", AvailabilityZone: "agadir", Callers: "127.0.0.1:0", Administration: "127.0.0.1:0",
			Sessions: "127.0.0.1:0", Key: setup.Secret{Value: "entry-test-shared-key"},
		},
		Store: store.New(store.Options{}),
		Log:   zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, path := range []string{"/services/booking/x", "/services/booking//x", "/services/booking/a/../x", "/", "/services"} {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Callers()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		w, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		w.Body.Close()
		if got := w.Header.Get(front.HeaderOutcome); got != string(front.NotRun) {
			t.Errorf("%s: status %d with outcome %q, want NotRun", path, w.StatusCode, got)
		}
	}
}
