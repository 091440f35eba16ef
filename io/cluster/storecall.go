package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/adaptivetimeout"
	"cardamomward/platform"
)

// timer bounds the calls to the store by how long its answers take; its zero value works.
type timer struct {
	mu       sync.Mutex
	patience adaptivetimeout.Estimator
}

func (t *timer) wait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.patience.Timeout()
}

const (
	// linkPart is the part of the host's link that a call to the store can count on beside other traffic.
	linkPart = 0.25
	// smallCall is the size under which a call's time tells how fast the store answers, in bytes.
	smallCall = 16 << 10
	// usualLink is taken for a host whose link is not known, in bytes a second.
	usualLink = 8e6
)

// timeout bounds a call that moves so many bytes.
func (c *Cluster) timeout(bytes int) time.Duration {
	link := c.Settings.LinkBytes
	if link <= 0 {
		link = usualLink
	}

	return c.timer.wait() + time.Duration(float64(bytes)/(link*linkPart)*float64(time.Second))
}

// call makes one small call to the store with a bound on its time, and notes how it went.
func (c *Cluster) call(ctx context.Context, do func(ctx context.Context) error) error {
	return c.callWith(ctx, 0, do)
}

// callWith does so for a call that moves so many bytes.
func (c *Cluster) callWith(ctx context.Context, bytes int, do func(ctx context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, c.timeout(bytes))
	defer cancel()
	began := c.Now()
	err := do(callCtx)
	c.timer.mu.Lock()
	defer c.timer.mu.Unlock()
	switch {
	case err == nil:
		if bytes < smallCall {
			c.timer.patience.RecordResponse(c.Now().Sub(began))
		}
		c.RecordStoreResponse()
	case errorx.IsOfType(err, platform.ErrInDoubt) && ctx.Err() == nil:
		c.timer.patience.RecordTimeout()
	}

	return err
}
