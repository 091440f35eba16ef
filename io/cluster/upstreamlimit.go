package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/ratelimit"
	"cardamomward/core/registry"
	"cardamomward/core/upstreamlimit"
	"cardamomward/io/fleet/fleetpb"
)

const (
	// limitOwnerRetryDelay is the retry delay of an owner of an upstream's limit that did not respond.
	limitOwnerRetryDelay = 200 * time.Millisecond
	// limitBurstSeconds is the burst of an upstream's limit, in seconds of its rate.
	limitBurstSeconds = 0.5
	// maxLimitBuckets bounds the buckets of a slot; upstreams that are gone leave theirs behind.
	maxLimitBuckets = 1024
	// minAdmitRetryDelay bounds how soon this host asks again after the owner has admitted no request.
	minAdmitRetryDelay = 20 * time.Millisecond
)

// upstreamLimits is the limits of upstreams that this host has received or was told of.
type upstreamLimits struct {
	mu    sync.Mutex
	index upstreamlimit.Index
	// pacers hold this host's access to each limit that it has asked for.
	pacers map[id.Upstream]*limitPacer
}

// limitPacer is this host's access to one upstream's limit.
type limitPacer struct {
	// exhaustedUntil is when the owner may admit requests again, and unreachableUntil when the owner is asked again.
	exhaustedUntil   time.Time
	unreachableUntil time.Time
	fallback         upstreamlimit.Fallback
}

// RecordUpstreamLimit records what a response to this host says of the limit of an upstream.
func (c *Cluster) RecordUpstreamLimit(statement upstreamlimit.Statement) {
	c.limits.mu.Lock()
	changed := c.limits.index.RecordOwn(statement)
	c.limits.mu.Unlock()
	if changed {
		c.logUpstreamLimit(statement, "own")
	}
}

// recordPeerLimit records a statement that a peer has received.
func (c *Cluster) recordPeerLimit(statement upstreamlimit.Statement) {
	c.limits.mu.Lock()
	changed := c.limits.index.RecordReported(statement)
	c.limits.mu.Unlock()
	if changed {
		c.logUpstreamLimit(statement, "peer")
	}
}

func (c *Cluster) logUpstreamLimit(statement upstreamlimit.Statement, source string) {
	c.Logger.Info("upstream-limit", "upstream", statement.Upstream, "incarnation", statement.Incarnation, "limited", statement.IsLimited,
		"rate", statement.Rate, "source", source, "age", c.Now().Sub(statement.ReceivedAt).Round(time.Millisecond))
}

// AdmissionDelay estimates the time until an upstream's limit admits a request; it is zero if the upstream has none.
func (c *Cluster) AdmissionDelay(instance *registry.Instance) time.Duration {
	now := c.Now()
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()

	return c.limits.index.AdmissionDelay(now, instance.ID, instance.Incarnation)
}

func (c *Cluster) upstreamLimit(upstream id.Upstream, incarnation int64) (upstreamlimit.Statement, bool) {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()

	return c.limits.index.Limit(upstream, incarnation)
}

// limitsToGossip returns the statements for the next heartbeat.
func (c *Cluster) limitsToGossip(now time.Time) []*fleetpb.UpstreamLimit {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	statements := c.limits.index.ToGossip(now)
	limits := make([]*fleetpb.UpstreamLimit, 0, len(statements))
	for _, statement := range statements {
		limits = append(limits, encodeUpstreamLimit(now, statement))
	}

	return limits
}

// RemoveUnlistedLimits removes the limits of upstreams that are not registered any more.
func (c *Cluster) RemoveUnlistedLimits(isListed func(id.Upstream) bool) {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.limits.index.RemoveUnlisted(c.Now(), isListed)
	for upstream := range c.limits.pacers {
		if !isListed(upstream) {
			delete(c.limits.pacers, upstream)
		}
	}
}

// AdmitToUpstream reports whether a request may be sent to an upstream now within the upstream's limit, and otherwise after how
// long to ask again.
func (c *Cluster) AdmitToUpstream(ctx context.Context, instance *registry.Instance) (ok bool, retryAfter time.Duration) {
	now := c.Now()
	c.limits.mu.Lock()
	statement, limited := c.limits.index.Limit(instance.ID, instance.Incarnation)
	if !limited {
		c.limits.mu.Unlock()

		return true, 0
	}
	pacer := c.limits.pacer(instance.ID)
	exhaustedUntil, asksOwner := pacer.exhaustedUntil, !now.Before(pacer.unreachableUntil)
	c.limits.mu.Unlock()
	if now.Before(exhaustedUntil) {
		return false, exhaustedUntil.Sub(now)
	}
	if asksOwner {
		reply, err := c.askLimitOwner(ctx, now, statement)
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK {
			return c.recordLimitReply(instance.ID, reply)
		}
		c.Logger.Info("limit-owner-lost", "upstream", instance.ID, "outcome", reply.GetOutcome(), "error", err)
		c.requestOwnersRefresh()
	}

	return c.admitOnShare(instance.ID, statement)
}

func (c *Cluster) askLimitOwner(ctx context.Context, now time.Time, statement upstreamlimit.Statement) (*fleetpb.AdmitReply, error) {
	member := c.slotOwner(c.hashSlot(string(statement.Upstream)))
	if member == "" || c.IsIsolated(now) {
		return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()

	return c.peerClient(member).AdmitToUpstream(ctx, &fleetpb.AdmitToUpstreamRequest{Limit: encodeUpstreamLimit(now, statement)})
}

// recordLimitReply applies the owner's reply. An upstream whose limit is used up is not asked for before it has room again.
func (c *Cluster) recordLimitReply(upstream id.Upstream, reply *fleetpb.AdmitReply) (ok bool, retryAfter time.Duration) {
	if reply.Allowed > 0 {
		return true, 0
	}
	retryAfter = max(minAdmitRetryDelay, time.Duration(reply.RetryMillis)*time.Millisecond)
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.limits.pacer(upstream).exhaustedUntil = c.Now().Add(retryAfter)

	return false, retryAfter
}

// admitOnShare admits a request on this host's share of the limit, while the owner cannot be asked.
func (c *Cluster) admitOnShare(upstream id.Upstream, statement upstreamlimit.Statement) (ok bool, retryAfter time.Duration) {
	share := statement.Rate / float64(c.peers.hostCount())
	now := c.Now()
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	pacer := c.limits.pacer(upstream)
	if !now.Before(pacer.unreachableUntil) {
		pacer.unreachableUntil = now.Add(limitOwnerRetryDelay)
	}

	return pacer.fallback.Take(now, share, rand.Float64()), limitOwnerRetryDelay
}

// pacer returns the access to an upstream's limit; the caller holds the lock.
func (l *upstreamLimits) pacer(upstream id.Upstream) *limitPacer {
	pacer, ok := l.pacers[upstream]
	if !ok {
		if l.pacers == nil {
			l.pacers = make(map[id.Upstream]*limitPacer)
		}
		pacer = &limitPacer{}
		l.pacers[upstream] = pacer
	}

	return pacer
}

// AdmitToUpstream admits a request to an upstream within the upstream's limit, over all hosts.
func (srv *slotServer) AdmitToUpstream(ctx context.Context, req *fleetpb.AdmitToUpstreamRequest) (*fleetpb.AdmitReply, error) {
	c := srv.cluster
	now := c.Now()
	reported := decodeUpstreamLimit(now, req.Limit)
	c.recordPeerLimit(reported)
	s := c.slots[c.hashSlot(string(reported.Upstream))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ensureServing(ctx, now) && (s.state == unowned || !c.mayServeSlots(now)) {
		return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	statement, limited := c.upstreamLimit(reported.Upstream, reported.Incarnation)
	if !limited {
		return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Allowed: 1}, nil
	}
	rate := statement.Rate * c.peers.liveHostShare(now)
	taken, wait := s.limitBucket(now, reported.Upstream).Take(now, rate, max(1, limitBurstSeconds*rate), 1)

	return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Allowed: taken, RetryMillis: wait.Milliseconds()}, nil
}

// limitBucket returns the token bucket of an upstream's limit. It starts empty, since the previous owner may just have admitted
// the whole burst. The caller holds the lock.
func (s *slot) limitBucket(now time.Time, upstream id.Upstream) *ratelimit.Bucket {
	bucket, ok := s.limitBuckets[upstream]
	if !ok {
		if s.limitBuckets == nil {
			s.limitBuckets = make(map[id.Upstream]*ratelimit.Bucket)
		}
		empty := ratelimit.NewWithLevel(now, 0)
		bucket = &empty
		s.limitBuckets[upstream] = bucket
	}

	return bucket
}

func encodeUpstreamLimit(now time.Time, statement upstreamlimit.Statement) *fleetpb.UpstreamLimit {
	return &fleetpb.UpstreamLimit{
		Upstream: string(statement.Upstream), Incarnation: statement.Incarnation, Limited: statement.IsLimited, Rate: statement.Rate,
		AgeMillis: now.Sub(statement.ReceivedAt).Milliseconds(),
	}
}

func decodeUpstreamLimit(now time.Time, limit *fleetpb.UpstreamLimit) upstreamlimit.Statement {
	return upstreamlimit.Statement{
		Upstream: id.Upstream(limit.GetUpstream()), Incarnation: limit.GetIncarnation(), IsLimited: limit.GetLimited(), Rate: limit.GetRate(),
		ReceivedAt: now.Add(-time.Duration(limit.GetAgeMillis()) * time.Millisecond),
	}
}
