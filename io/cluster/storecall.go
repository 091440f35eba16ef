package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/adaptivetimeout"
	"cardamomward/platform"
)

// storeTimeout derives the timeout of store calls from measured response times; its zero value is ready to use.
type storeTimeout struct {
	mu        sync.Mutex
	estimator adaptivetimeout.Estimator
}

func (t *storeTimeout) current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.estimator.Timeout()
}

const (
	// storeLinkShare is the fraction of the host's bandwidth that a store call is assumed to get alongside other traffic.
	storeLinkShare = 0.25
	// maxSampledCallBytes is the size below which a call's duration is a sample of the store's response time: larger
	// calls depend on the bandwidth.
	maxSampledCallBytes = 16 << 10
	// defaultLinkBytesPerSecond is the assumed bandwidth of a host that configures none.
	defaultLinkBytesPerSecond = 8e6
)

// storeCallTimeout returns the timeout of a call that transfers callBytes.
func (c *Cluster) storeCallTimeout(callBytes int) time.Duration {
	linkBytesPerSecond := c.Settings.LinkBytesPerSecond
	if linkBytesPerSecond <= 0 {
		linkBytesPerSecond = defaultLinkBytesPerSecond
	}

	return c.storeTimeout.current() + time.Duration(float64(callBytes)/(linkBytesPerSecond*storeLinkShare)*float64(time.Second))
}

// callStore makes a small store call with the estimated timeout and records its outcome.
func (c *Cluster) callStore(ctx context.Context, fn func(ctx context.Context) error) error {
	return c.callStoreWithSize(ctx, 0, fn)
}

// callStoreWithSize is callStore for a call that transfers callBytes.
func (c *Cluster) callStoreWithSize(ctx context.Context, callBytes int, fn func(ctx context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, c.storeCallTimeout(callBytes))
	defer cancel()
	startedAt := c.Now()
	err := fn(callCtx)
	c.storeTimeout.mu.Lock()
	defer c.storeTimeout.mu.Unlock()
	switch {
	case err == nil:
		if callBytes < maxSampledCallBytes {
			c.storeTimeout.estimator.RecordResponse(c.Now().Sub(startedAt))
		}
		c.RecordStoreResponse()
	case errorx.IsOfType(err, platform.ErrInDoubt) && ctx.Err() == nil:
		c.storeTimeout.estimator.RecordTimeout()
	}

	return err
}
