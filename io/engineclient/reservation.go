package engineclient

import (
	"context"
	"time"

	"cardamomward/core/id"
)

// drainPollInterval is the pause between two load reports while waiting for a reserved engine to become idle.
const drainPollInterval = 100 * time.Millisecond

// TryReserve reserves the upstream for a request that must run alone, so that it gets no other new calls of this host. It
// returns false if the upstream is not available.
func (u *Upstream) TryReserve(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving || u.reserved || u.reservedElsewhere || now.Sub(u.lastFailureAt) < failureBackoff {
		return false
	}
	u.reserved = true

	return true
}

// SetReservedElsewhere replaces the set of upstreams that other hosts have reserved; they get no new calls of this host.
func (p *Pool) SetReservedElsewhere(reservedElsewhere map[id.Upstream]bool) {
	for _, u := range p.All() {
		u.mu.Lock()
		u.reservedElsewhere = reservedElsewhere[u.id]
		u.mu.Unlock()
	}
	p.OnCapacityChange()
}

// ReleaseReservation ends the reservation that TryReserve made.
func (u *Upstream) ReleaseReservation() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reserved = false
}

// CallCount returns the number of running and queued calls of the upstream that this host knows of.
func (u *Upstream) CallCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()

	return max(u.ownCalls, u.lastLoad.RunningCalls+u.lastLoad.QueuedCalls)
}

// maxFailedReports is how many load reports in a row may fail before AwaitIdle gives up.
const maxFailedReports = 3

// AwaitIdle waits until a load report measured after since shows no running or queued calls and this host runs none
// there. It returns an error if ctx is done or several load requests in a row fail.
func (u *Upstream) AwaitIdle(ctx context.Context, since time.Time) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	failedReports := 0
	for {
		load, err := u.fetchLoadWithRetry(ctx)
		now := time.Now()
		if err == nil {
			failedReports = 0
			u.handleLoadReport(load, now)
		} else if failedReports++; failedReports >= maxFailedReports {
			u.RecordFailure(now)

			return err
		}
		if u.isIdleSince(since) {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

func (u *Upstream) isIdleSince(since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.loadMeasuredAt.After(since) && u.ownCalls == 0 && u.lastLoad.RunningCalls+u.lastLoad.QueuedCalls == 0
}
