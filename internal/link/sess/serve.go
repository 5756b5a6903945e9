package sess

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptRetry is the pause after a failed accept, for example for lack of file descriptors.
const acceptRetry = 50 * time.Millisecond

// Serve accepts sessions on ln until ctx ends, and closes ln; open sessions go on. Handshakes run beside each other, so that a slow or hostile
// peer delays no other; their number is bounded.
func Serve(ctx context.Context, ln net.Listener, cfg Config, h Handler) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	defer ln.Close()
	var shakes sync.WaitGroup
	defer shakes.Wait()
	room := make(chan struct{}, serveShakes)
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept sessions: %w", err)
		}
		if err != nil {
			select {
			case <-time.After(acceptRetry):
			case <-ctx.Done():
			}
			continue
		}
		room <- struct{}{} // a handshake lasts at most ShakeLimit
		shakes.Go(func() {
			defer func() { <-room }()
			_, _ = Accept(ctx, conn, cfg, h) // logged by Accept; the handler gets the session
		})
	}
}
