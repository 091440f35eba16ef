package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/adaptivetimeout"
	"cardamomward/platform"
)

// storeTimeout bounds the calls to the store by how long its answers take; its zero value works.
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
	// storeLinkShare is the part of the host's link that a call to the store can count on beside other traffic.
	storeLinkShare = 0.25
	// maxSampledCallBytes is the size under which a call's time tells how fast the store answers, in bytes.
	maxSampledCallBytes = 16 << 10
	// defaultLinkBytesPerSecond is taken for a host whose link is not known, in bytes a second.
	defaultLinkBytesPerSecond = 8e6
)

// storeCallTimeout bounds a call that moves so many bytes.
func (c *Cluster) storeCallTimeout(bytes int) time.Duration {
	linkBytesPerSecond := c.Settings.LinkBytes
	if linkBytesPerSecond <= 0 {
		linkBytesPerSecond = defaultLinkBytesPerSecond
	}

	return c.storeTimeout.current() + time.Duration(float64(bytes)/(linkBytesPerSecond*storeLinkShare)*float64(time.Second))
}

// callStore makes one small call to the store with a bound on its time, and notes how it went.
func (c *Cluster) callStore(ctx context.Context, do func(ctx context.Context) error) error {
	return c.callStoreWithSize(ctx, 0, do)
}

// callStoreWithSize does so for a call that moves so many bytes.
func (c *Cluster) callStoreWithSize(ctx context.Context, bytes int, do func(ctx context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, c.storeCallTimeout(bytes))
	defer cancel()
	startedAt := c.Now()
	err := do(callCtx)
	c.storeTimeout.mu.Lock()
	defer c.storeTimeout.mu.Unlock()
	switch {
	case err == nil:
		if bytes < maxSampledCallBytes {
			c.storeTimeout.estimator.RecordResponse(c.Now().Sub(startedAt))
		}
		c.RecordStoreResponse()
	case errorx.IsOfType(err, platform.ErrInDoubt) && ctx.Err() == nil:
		c.storeTimeout.estimator.RecordTimeout()
	}

	return err
}
