package httpx

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
)

const (
	// firstAcceptPause and maxAcceptPause are the first and the longest pause after an error of Accept.
	firstAcceptPause = 5 * time.Millisecond
	maxAcceptPause   = time.Second
	// shutdownPollInterval is how often Shutdown looks for open connections.
	shutdownPollInterval = 10 * time.Millisecond
)

// transport accepts connections and hands their requests to the server library, each once it has arrived whole.
type transport struct {
	listener *listener
	protocol *http1.Server
	// sensesClose cancels the context of a request when its client closes the connection.
	sensesClose bool

	active atomic.Int64
}

// ListenAndServe accepts connections until the listener is closed.
func (t *transport) ListenAndServe(network.OnData) error {
	pause := &backoff.ExponentialBackOff{InitialInterval: firstAcceptPause, MaxInterval: maxAcceptPause, Multiplier: 2}
	pause.Reset()
	for {
		c, isTaken, err := t.listener.accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// The process may have no descriptors left, for whatever cause.
			isClosed := t.listener.intake.closeOldest(t.listener.port)
			t.listener.logger.Info("accept-failed", "address", t.listener.Addr().String(), "error", err, "closed-oldest", isClosed)
			time.Sleep(pause.NextBackOff())
		case isTaken:
			pause.Reset()
			t.active.Add(1)
			go func() {
				defer t.active.Add(-1)
				t.serve(c)
			}()
		}
	}
}

// serve handles the requests of a connection one after the other.
func (t *transport) serve(c *conn) {
	defer t.listener.intake.remove(c)
	defer c.Close() //nolint:errcheck // the connection has ended
	defer c.free()
	for c.receive() == nil {
		if err := t.serveRequest(c); err != nil {
			return
		}
		if c.discards {
			c.endDiscarding()

			return
		}
		c.awaitNext()
	}
}

func (t *transport) serveRequest(c *conn) error {
	c.isServing.Store(true)
	defer c.isServing.Store(false)
	if !t.sensesClose {
		return t.protocol.Serve(context.Background(), c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	return t.protocol.Serve(ctx, &sensingConn{conn: c, cancel: cancel})
}

// Close closes the listener.
func (t *transport) Close() error {
	return t.listener.Close()
}

// Shutdown closes the listener and waits for all connections to end, or until ctx is done.
func (t *transport) Shutdown(ctx context.Context) error {
	t.Close() //nolint:errcheck // a listener that is closed already is as good
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for t.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}

	return nil
}
