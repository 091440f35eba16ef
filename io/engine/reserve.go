package engine

import (
	"context"
	"time"
)

// drainPoll is how often a reserved engine is asked whether it has become idle.
const drainPoll = 100 * time.Millisecond

// Reserve keeps new calls of this host away from the upstream, and reports false where it takes none or is reserved.
func (u *Upstream) Reserve(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving || u.reserved || now.Sub(u.failed) < failedPause {
		return false
	}
	u.reserved = true

	return true
}

// Unreserve lets new calls in again.
func (u *Upstream) Unreserve() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reserved = false
}

// Busy returns the calls that the upstream has, as far as this host knows.
func (u *Upstream) Busy() int {
	u.mu.Lock()
	defer u.mu.Unlock()

	return max(u.own, u.load.Running+u.load.Waiting)
}

// AwaitIdle waits until the engine reports, for a time after since, that it runs nothing.
func (u *Upstream) AwaitIdle(ctx context.Context, since time.Time) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		load, err := u.freshLoad(ctx)
		now := time.Now()
		if err == nil {
			u.report(load, now)
		}
		if u.idleSince(since) {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

func (u *Upstream) idleSince(since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.reported.After(since) && u.own == 0 && u.load.Running+u.load.Waiting == 0
}
