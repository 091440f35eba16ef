package cluster

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/quota"
	"cardamomward/core/routing"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/follow"
)

const (
	// admitTimeout bounds a request for an allowance.
	admitTimeout = 250 * time.Millisecond
	// fallbackRetryDelay is when to come back after a refusal while the owner cannot be reached.
	fallbackRetryDelay = 500 * time.Millisecond
	// maxQueueTime is how long the requests of programs that have begun wait for the rate to hold them.
	maxQueueTime = 400 * time.Millisecond
	// maxRetryDelay bounds when callers are told to come back.
	maxRetryDelay = time.Second
)

// workspaceQuota is this host's side of a workspace's rate.
type workspaceQuota struct {
	mu     sync.Mutex
	client quota.Client
	// renewalDone is closed when the request to the owner that is under way has ended.
	renewalDone chan struct{}
	// exhaustedUntil is when the owner may have something again.
	exhaustedUntil     time.Time
	retryDelay         time.Duration
	isOwnerUnreachable bool
}

// AdmitProgram reports whether a program of a workspace may begin now, and otherwise when to come back.
func (c *Cluster) AdmitProgram(ctx context.Context, workspace *routing.Workspace) (bool, time.Duration) {
	limit := quotaLimit(workspace)
	reply, ok := c.requestLease(ctx, &fleetpb.AdmitRequest{
		Host: string(c.Settings.Name), Workspace: string(workspace.Name), Rate: limit.Rate, Burst: limit.Burst, Starting: true,
	})
	if !ok {
		return c.AdmitRequest(ctx, workspace)
	}

	return reply.Allowed > 0, min(maxRetryDelay, time.Duration(reply.RetryMillis)*time.Millisecond)
}

func quotaLimit(workspace *routing.Workspace) quota.Limit {
	return quota.Limit{Rate: workspace.RequestsPerSecond, Burst: max(1, workspace.Burst)}
}

// AdmitRequest reports whether a request of a workspace may run now, and otherwise when to come back.
func (c *Cluster) AdmitRequest(ctx context.Context, workspace *routing.Workspace) (bool, time.Duration) {
	q := c.workspaceQuota(workspace.Name)
	limit := quotaLimit(workspace)
	q.mu.Lock()
	defer q.mu.Unlock()
	for queueDeadline := c.Now().Add(maxQueueTime); ctx.Err() == nil; {
		now := c.Now()
		if q.client.TryAcquire(now) {
			return true, 0
		}
		if now.Before(q.exhaustedUntil) {
			ok, retry := c.admitWithoutLease(q, now, limit)
			if ok || !q.exhaustedUntil.Before(queueDeadline) {
				return ok, retry
			}
			q.sleepUnlocked(ctx, q.exhaustedUntil.Sub(now))

			continue
		}
		if q.client.IsRenewing() {
			q.awaitRenewal(ctx)

			continue
		}
		c.renewLease(ctx, q, workspace.Name, limit)
	}

	return false, fallbackRetryDelay
}

func (c *Cluster) workspaceQuota(workspace id.Workspace) *workspaceQuota {
	c.quotasMu.Lock()
	defer c.quotasMu.Unlock()
	q, ok := c.quotas[workspace]
	if !ok {
		q = &workspaceQuota{}
		c.quotas[workspace] = q
	}

	return q
}

// admitWithoutLease refuses, or admits on this host's own share while the owner cannot be reached.
func (c *Cluster) admitWithoutLease(q *workspaceQuota, now time.Time, limit quota.Limit) (bool, time.Duration) {
	if q.isOwnerUnreachable && q.client.TryAcquireFallback(now, limit.Scale(1/float64(c.peers.hostCount()))) {
		return true, 0
	}

	return false, min(maxRetryDelay, max(q.retryDelay, q.exhaustedUntil.Sub(now)))
}

// sleepUnlocked gives the lock up for a time.
func (q *workspaceQuota) sleepUnlocked(ctx context.Context, d time.Duration) {
	q.mu.Unlock()
	defer q.mu.Lock()
	follow.Sleep(ctx, d)
}

// awaitRenewal gives the lock up until the request to the owner that is under way has ended.
func (q *workspaceQuota) awaitRenewal(ctx context.Context) {
	renewalDone := q.renewalDone
	q.mu.Unlock()
	defer q.mu.Lock()
	select {
	case <-ctx.Done():
	case <-renewalDone:
	}
}

// renewLease asks the owner for an allowance; the caller holds the lock, which is given up meanwhile.
func (c *Cluster) renewLease(ctx context.Context, q *workspaceQuota, workspace id.Workspace, limit quota.Limit) {
	requestedAt := c.Now()
	used, want := q.client.BeginRenewal(requestedAt)
	q.renewalDone = make(chan struct{})
	defer close(q.renewalDone)
	q.mu.Unlock()
	reply, ok := c.requestLease(context.WithoutCancel(ctx), &fleetpb.AdmitRequest{
		Host: string(c.Settings.Name), Workspace: string(workspace), Used: used, Want: want, Rate: limit.Rate, Burst: limit.Burst,
	})
	q.mu.Lock()
	now := c.Now()
	q.isOwnerUnreachable = !ok
	if !ok {
		q.client.AbortRenewal()
		q.exhaustedUntil, q.retryDelay = now.Add(fallbackRetryDelay/4), fallbackRetryDelay

		return
	}
	q.client.CompleteRenewal(requestedAt, reply.Allowed)
	if reply.Allowed == 0 {
		q.retryDelay = time.Duration(reply.RetryMillis) * time.Millisecond
		q.exhaustedUntil = now.Add(min(q.retryDelay, quota.LeaseDuration/4))
	}
}

// requestLease asks the owner of a workspace's slot, and once more where the owners had changed.
func (c *Cluster) requestLease(ctx context.Context, req *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	member := c.slotOwner(c.hashSlot(req.Workspace))
	if member == "" || c.IsIsolated(c.Now()) {
		c.requestOwnersRefresh()

		return nil, false
	}
	reply, err := c.peerClient(member).Admit(ctx, req)
	if err != nil || reply.Outcome != fleetpb.Outcome_OUTCOME_OK {
		c.Logger.Info("owner-lost", "workspace", req.Workspace, "owner", member, "error", err)
		c.requestOwnersRefresh()

		return nil, false
	}

	return reply, true
}
