package sess

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptRetry is the delay after a failed accept, for example when file descriptors have run out.
const acceptRetry = 50 * time.Millisecond

// Serve accepts sessions on ln until ctx ends, then closes ln and returns nil; open sessions stay open. It returns an
// error if ln is closed before ctx ends. Up to maxHandshakes handshakes run concurrently, so that a slow or hostile
// peer does not delay others.
func Serve(ctx context.Context, ln net.Listener, cfg Config, h Handler) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	defer ln.Close()
	var handshakes sync.WaitGroup
	defer handshakes.Wait()
	slots := make(chan struct{}, maxHandshakes)
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
		slots <- struct{}{} // waits no longer than HandshakeTimeout, which ends every handshake
		handshakes.Go(func() {
			defer func() { <-slots }()
			_, _ = Accept(ctx, conn, cfg, h) // Accept logs failures, and h receives the session
		})
	}
}
