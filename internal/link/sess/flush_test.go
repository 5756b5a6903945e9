package sess_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilramp.org/trefoilramp/internal/link/sess"
	"trefoilramp.org/trefoilramp/internal/link/wire"
)

// Guards against a graceful shutdown that closes a session before the end frame of a stream is written.
func TestFlushBeforeClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := bytes.Repeat([]byte("0123456789"), 10_000)
		var a *sess.Session
		right := recorder{stream: func(st *sess.Stream) {
			if _, err := st.Write(body); err != nil {
				t.Error(err)
			}
			if err := st.CloseWrite(); err != nil {
				t.Error(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if err := a.Flush(ctx); err != nil && !errors.Is(err, sess.ErrClosed) { // d closes once it has read the body
				t.Error(err)
			}
			a.Close(nil)
		}}
		var d *sess.Session
		d, a = pair(t, &recorder{}, &right)
		st, err := d.Open(context.Background(), &wire.RequestHead{})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(st); err != nil || !bytes.Equal(got, body) {
			t.Errorf("read %d of %d bytes, %v", len(got), len(body), err)
		}
		closeBoth(d, a)
	})
}
