package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/serve/front"
)

// Guards against request smuggling: parsing the unread rest of a body as the next request on the connection. The target
// responds before the caller has sent the whole body. The rest has the form of a request and arrives while the entry is
// still reading the body, or after that.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	for _, after := range []time.Duration{50 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			sendRestLate(t, after)
		})
	}
}

func sendRestLate(t *testing.T, after time.Duration) {
	t.Helper()
	const inside = "POST /services/book/x HTTP/1.1\r\nHost: book\r\nX-Id: inside\r\nContent-Length: 0\r\n\r\n"
	p := newPeer(t, 64, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "early") })
	f := newFixture(t, nil, p)
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	first := bytes.Repeat([]byte("a"), 300<<10) // more than an entry buffers
	fmt.Fprintf(conn, "POST /services/book/x HTTP/1.1\r\nHost: book\r\nX-Id: outside\r\nContent-Length: %d\r\n\r\n",
		len(first)+len(inside))
	if _, err := conn.Write(first); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 4<<10)
	n, err := conn.Read(got)
	if err != nil || !strings.HasPrefix(string(got[:n]), "HTTP/1.1 200") {
		t.Fatalf("got %q, %v", got[:n], err)
	}
	time.Sleep(after)
	_, _ = io.WriteString(conn, inside)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if rest, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) || bytes.Contains(rest, []byte("HTTP/1.1")) {
		t.Errorf("after the response the entry sent %q, %v", rest, err)
	}
	if p.ran("outside") != 1 || p.ran("inside") != 0 {
		t.Errorf("the request ran %d times, the rest of its body %d times", p.ran("outside"), p.ran("inside"))
	}
}

// Guards against reporting a service as unknown before the configuration was read.
func TestServiceBeforeConfiguration(t *testing.T) {
	f := newFixture(t, nil)
	ready := false
	f.front.Store(front.New(front.Config{Services: f, Directory: f, Ready: func() bool { return ready }}))
	f.do("GET", "/services/other/x", nil).want(t, "before", http.StatusServiceUnavailable, front.NotRun)
	ready = true
	f.do("GET", "/services/other/x", nil).want(t, "after", http.StatusNotFound, front.NotRun)
}
