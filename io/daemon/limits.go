package daemon

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/bucket"
	"cardamomward/core/id"
	"cardamomward/core/refusal"
	"cardamomward/core/settings"
)

// limits gives each host an equal share of each workspace's rate and burst.
type limits struct {
	hosts func(now time.Time) int

	mu      sync.Mutex
	buckets map[id.Workspace]*bucket.Bucket
}

// Take takes one request of the workspace's rate.
func (l *limits) Take(_ context.Context, workspace *settings.Workspace, now time.Time) error {
	share := 1 / float64(l.hosts(now))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[id.Workspace]*bucket.Bucket)
	}
	b, ok := l.buckets[workspace.ID]
	if !ok {
		b = &bucket.Bucket{}
		l.buckets[workspace.ID] = b
	}
	if ok, wait := b.Take(now, float64(workspace.Rate)*share, float64(workspace.Burst)*share); !ok {
		return refusal.New(refusal.RateLimited, "workspace %s is over its rate of %g/s", workspace.ID, float64(workspace.Rate)).
			WithRetry(wait)
	}

	return nil
}
