package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/quota"
	"cardamomward/core/routing"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/topicconsumer"
)

const (
	// admitTimeout bounds a call to the owner for a lease.
	admitTimeout = 250 * time.Millisecond
	// fallbackRetryDelay is the retry delay of rejected requests while the owner is unreachable.
	fallbackRetryDelay = 500 * time.Millisecond
	// maxQueueTime bounds how long requests of running programs wait for the rate limit.
	maxQueueTime = 400 * time.Millisecond
	// maxRetryDelay bounds the retry delay that callers are given.
	maxRetryDelay = time.Second
)

// workspaceQuota is this host's lease of a workspace's rate.
type workspaceQuota struct {
	mu     sync.Mutex
	client quota.Client
	// renewalDone is closed when the renewal in progress has ended.
	renewalDone chan struct{}
	// exhaustedUntil is the earliest time of the owner's next grant.
	exhaustedUntil     time.Time
	retryDelay         time.Duration
	isOwnerUnreachable bool
}

// AdmitProgram reports whether a program of a workspace may start now; if not, it returns the retry delay.
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

// AdmitRequest reports whether a request of a workspace may run now; if not, it returns the retry delay. It waits up to
// about 400 ms (maxQueueTime) for the rate limit.
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

// admitWithoutLease admits a request within this host's fallback share of the rate while the owner is unreachable, and
// otherwise rejects it.
func (c *Cluster) admitWithoutLease(q *workspaceQuota, now time.Time, limit quota.Limit) (bool, time.Duration) {
	if q.isOwnerUnreachable {
		hosts := c.peers.hostCount()
		initialLevel := quota.InitialFallbackLevel(limit, c.Settings.Bounds.RateSlackRequests, hosts, rand.Float64())
		if q.client.TryAcquireFallback(now, limit.Scale(1/float64(hosts)), initialLevel) {
			return true, 0
		}
	}

	return false, min(maxRetryDelay, max(q.retryDelay, q.exhaustedUntil.Sub(now)))
}

// sleepUnlocked releases the lock for a time.
func (q *workspaceQuota) sleepUnlocked(ctx context.Context, d time.Duration) {
	q.mu.Unlock()
	defer q.mu.Lock()
	topicconsumer.SleepContext(ctx, d)
}

// awaitRenewal releases the lock until the renewal in progress has ended.
func (q *workspaceQuota) awaitRenewal(ctx context.Context) {
	renewalDone := q.renewalDone
	q.mu.Unlock()
	defer q.mu.Lock()
	select {
	case <-ctx.Done():
	case <-renewalDone:
	}
}

// renewLease requests a new lease from the owner. The caller holds the lock, which is released during the call.
func (c *Cluster) renewLease(ctx context.Context, q *workspaceQuota, workspace id.Workspace, limit quota.Limit) {
	requestedAt := c.Now()
	renewal := q.client.BeginRenewal(requestedAt)
	q.renewalDone = make(chan struct{})
	defer close(q.renewalDone)
	q.mu.Unlock()
	reply, ok := c.requestLease(context.WithoutCancel(ctx), &fleetpb.AdmitRequest{
		Host: string(c.Settings.Name), Workspace: string(workspace), Rate: limit.Rate, Burst: limit.Burst,
		Lease: int64(renewal.Lease), Settles: int64(renewal.Settles), Used: renewal.Used, Want: renewal.Want,
	})
	q.mu.Lock()
	now := c.Now()
	q.isOwnerUnreachable = !ok
	if !ok {
		q.client.AbortRenewal()
		q.exhaustedUntil, q.retryDelay = now.Add(fallbackRetryDelay/4), fallbackRetryDelay

		return
	}
	q.client.CompleteRenewal(requestedAt, renewal, reply.Allowed)
	if reply.Allowed == 0 {
		q.retryDelay = time.Duration(reply.RetryMillis) * time.Millisecond
		q.exhaustedUntil = now.Add(min(q.retryDelay, quota.LeaseDuration/4))
	}
}

// requestLease calls the owner of a workspace's slot. On failure it requests a refresh of the owners.
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
