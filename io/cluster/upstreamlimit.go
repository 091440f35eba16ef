package cluster

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cardamomward/core/coldstart"
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

// upstreamLimits is the limits of upstreams, and the upstreams that are cold, that this host has received or was told of.
type upstreamLimits struct {
	mu    sync.Mutex
	index upstreamlimit.Index
	cold  coldstart.Index
	// registrationCount is the number of registrations that have been recorded.
	registrationCount int
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

// RemoveUnlistedLimits removes the limits of upstreams that are not registered any more. isListed is called without a lock: it needs
// that of the registrations, under which RecordRegistration is called.
func (c *Cluster) RemoveUnlistedLimits(isListed func(id.Upstream) bool) {
	c.limits.mu.Lock()
	known := slices.Concat(c.limits.index.Upstreams(), c.limits.cold.Upstreams(), slices.Collect(maps.Keys(c.limits.pacers)))
	recorded := c.limits.registrationCount
	c.limits.mu.Unlock()
	unlisted := make(map[id.Upstream]struct{})
	for _, upstream := range known {
		if !isListed(upstream) {
			unlisted[upstream] = struct{}{}
		}
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	if c.limits.registrationCount != recorded {
		// An upstream may have registered since it was looked up; the next clean-up removes what is still unlisted.
		return
	}
	wasListed := func(upstream id.Upstream) bool {
		_, isUnlisted := unlisted[upstream]

		return !isUnlisted
	}
	c.limits.index.RemoveUnlisted(c.Now(), wasListed)
	c.limits.cold.RemoveUnlisted(c.Now(), wasListed)
	for upstream := range unlisted {
		delete(c.limits.pacers, upstream)
	}
}

// admission is what bounds the requests to an upstream: its limit, its cold start, or both.
type admission struct {
	limit     upstreamlimit.Statement
	isLimited bool
	cold      coldstart.Statement
	isCold    bool
	// tolerance is that of cold starts.
	tolerance coldstart.Tolerance
}

// coldPace returns how fast requests are admitted to an upstream that is cold.
func (a admission) coldPace() coldstart.Pace {
	pace := a.tolerance.Pace(a.cold.Rate)
	if a.isLimited {
		pace = pace.Limited(a.limit.Rate)
	}

	return pace
}

// rate returns the smaller rate of both at the owner, in requests per second.
func (a admission) rate() float64 {
	if a.isCold {
		return a.coldPace().OwnerRate
	}

	return a.limit.Rate
}

func (c *Cluster) newAdmission() admission {
	return admission{tolerance: c.Settings.Bounds.ColdTolerance}
}

// AdmitToUpstream reports whether a request may be sent to an upstream now within the upstream's limit and the rate that it takes
// while it is cold, and otherwise after how long to ask again. An upstream that is neither limited nor cold costs no call.
func (c *Cluster) AdmitToUpstream(ctx context.Context, instance *registry.Instance, policy coldstart.Policy) (ok bool, retryAfter time.Duration) {
	now := c.Now()
	a := c.newAdmission()
	c.limits.mu.Lock()
	a.limit, a.isLimited = c.limits.index.Limit(instance.ID, instance.Incarnation)
	a.cold, a.isCold = c.limits.cold.State(now, instance, policy)
	if !a.isLimited && !a.isCold {
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
		reply, err := c.askLimitOwner(ctx, now, instance.ID, a)
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK {
			return c.recordLimitReply(instance.ID, reply)
		}
		c.Logger.Info("limit-owner-lost", "upstream", instance.ID, "outcome", reply.GetOutcome(), "error", err)
		c.requestOwnersRefresh()
	}

	return c.admitOnShare(instance.ID, a)
}

func (c *Cluster) askLimitOwner(ctx context.Context, now time.Time, upstream id.Upstream, a admission) (*fleetpb.AdmitReply, error) {
	member := c.slotOwner(c.hashSlot(string(upstream)))
	if member == "" || c.IsIsolated(now) {
		return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	req := &fleetpb.AdmitToUpstreamRequest{}
	if a.isLimited {
		req.Limit = encodeUpstreamLimit(now, a.limit)
	}
	if a.isCold {
		req.Cold = encodeColdUpstream(now, a.cold)
	}
	reply, err := c.peerClient(member).AdmitToUpstream(ctx, req)
	if err == nil && a.isCold && reply.Outcome == fleetpb.Outcome_OUTCOME_OK && reply.RetryMillis == 0 {
		return nil, errColdIgnored
	}

	return reply, err
}

// errColdIgnored is the result of an admission by an owner that has not read that the upstream is cold. Hosts of commit 392e86d admit
// every request to an upstream without a limit.
var errColdIgnored = errors.New("the owner does not know cold upstreams")

// confirmCold marks the reply to a request that names a cold upstream by a retry time, which an admission otherwise lacks.
func confirmCold(req *fleetpb.AdmitToUpstreamRequest, reply *fleetpb.AdmitReply) *fleetpb.AdmitReply {
	if req.Cold != nil {
		reply.RetryMillis = max(1, reply.RetryMillis)
	}

	return reply
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

// admitOnShare admits a request on this host's share of the rate, while the owner cannot be asked.
func (c *Cluster) admitOnShare(upstream id.Upstream, a admission) (ok bool, retryAfter time.Duration) {
	hosts := c.peers.hostCount()
	share := a.rate() / float64(hosts)
	if a.isCold {
		if !c.peers.isHostListRead() {
			return false, limitOwnerRetryDelay
		}
		share = a.coldPace().HostShare(hosts)
	}
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

// AdmitToUpstream admits a request to an upstream within the upstream's limit and the rate that it takes while it is cold, over
// all hosts.
func (srv *slotServer) AdmitToUpstream(ctx context.Context, req *fleetpb.AdmitToUpstreamRequest) (*fleetpb.AdmitReply, error) {
	c := srv.cluster
	now := c.Now()
	upstream := id.Upstream(req.GetCold().GetUpstream())
	if req.Cold != nil {
		c.recordPeerCold(now, decodeColdUpstream(now, req.Cold))
	}
	a := c.newAdmission()
	if req.Limit != nil || req.Cold == nil {
		reported := decodeUpstreamLimit(now, req.Limit)
		c.recordPeerLimit(reported)
		upstream = reported.Upstream
		a.limit, a.isLimited = c.upstreamLimit(upstream, reported.Incarnation)
	} else {
		a.limit, a.isLimited = c.upstreamLimit(upstream, req.Cold.Incarnation)
	}
	a.cold, a.isCold = c.reportedCold(now, upstream)
	s := c.slots[c.hashSlot(string(upstream))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ensureServing(ctx, now) && (s.state == unowned || !c.mayServeSlots(now)) {
		return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	if !a.isLimited && !a.isCold {
		return confirmCold(req, &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Allowed: 1}), nil
	}

	return confirmCold(req, s.admitToUpstream(now, upstream, a)), nil
}

// admitToUpstream admits a request from the bucket of an upstream. The caller holds the lock.
func (s *slot) admitToUpstream(now time.Time, upstream id.Upstream, a admission) *fleetpb.AdmitReply {
	rate := a.rate() * s.cluster.peers.liveHostShare(now)
	bucket := s.limitBucket(now, upstream)
	reply := &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_OK}
	if a.isCold {
		ok, wait := bucket.queue.Take(now, &bucket.Bucket, rate, s.cluster.peers.hostCount())
		if ok {
			reply.Allowed = 1
		}
		reply.RetryMillis = wait.Milliseconds()

		return reply
	}
	taken, wait := bucket.Take(now, rate, max(1, limitBurstSeconds*rate), 1)
	reply.Allowed, reply.RetryMillis = taken, wait.Milliseconds()

	return reply
}

// limitBucket is the token bucket of an upstream's limit and of its cold starts, with the queue of the latter.
type limitBucket struct {
	ratelimit.Bucket

	queue coldstart.Queue
}

// limitBucket returns the bucket of an upstream. It starts empty, since the previous owner may just have admitted the whole
// burst. The caller holds the lock.
func (s *slot) limitBucket(now time.Time, upstream id.Upstream) *limitBucket {
	bucket, ok := s.limitBuckets[upstream]
	if !ok {
		if s.limitBuckets == nil {
			s.limitBuckets = make(map[id.Upstream]*limitBucket)
		}
		bucket = &limitBucket{Bucket: ratelimit.NewWithLevel(now, 0)}
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
		Upstream: id.Upstream(limit.GetUpstream()), Incarnation: limit.GetIncarnation(), IsLimited: limit.GetLimited(), Rate: reportedRate(limit.GetRate()),
		ReceivedAt: reportedTime(now, limit.GetAgeMillis()),
	}
}
