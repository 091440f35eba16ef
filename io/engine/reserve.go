package engine

import (
	"context"
	"time"

	"cardamomward/core/id"
)

// drainPoll is how often a reserved engine is asked whether it has become idle.
const drainPoll = 100 * time.Millisecond

// Reserve keeps new calls of this host away from the upstream, and reports false where it takes none or is reserved.
func (u *Upstream) Reserve(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving || u.reserved || u.elsewhere || now.Sub(u.failed) < failedPause {
		return false
	}
	u.reserved = true

	return true
}

// Keep keeps new calls of this host away from the upstreams that other hosts have reserved, and from no others.
func (p *Pool) Keep(elsewhere map[id.Upstream]bool) {
	for _, u := range p.All() {
		u.mu.Lock()
		u.elsewhere = elsewhere[u.id]
		u.mu.Unlock()
	}
	p.Changed()
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

// maxMissed is how many load reports in a row may fail before a reserved engine is given up.
const maxMissed = 3

// AwaitIdle waits until the engine reports, for a time after since, that it runs nothing.
func (u *Upstream) AwaitIdle(ctx context.Context, since time.Time) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	missed := 0
	for {
		load, err := u.freshLoad(ctx)
		now := time.Now()
		if err == nil {
			missed = 0
			u.report(load, now)
		} else if missed++; missed >= maxMissed {
			u.Failed(now)

			return err
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
