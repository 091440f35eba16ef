package globalratelimit

import (
	"slices"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/ratelimit"
	"cardamomward/core/settings"
)

const (
	// maxLogReadAge is the age limit of an owner's last read from the log for granting requests.
	maxLogReadAge = 3 * time.Second
	// clockDriftMargin allows for clocks that run at different speeds and for responses in flight.
	clockDriftMargin = 250 * time.Millisecond
	// releaseTimeout is how long after StopGrants an owner resumes granting for a slot that it has not released.
	releaseTimeout = 10 * time.Second
)

// BucketOwner grants requests from the buckets whose slots this host owns; its zero value is ready to use.
type BucketOwner struct {
	// MaxHosts is the maximum number of hosts: the part of the rate that their floor buckets use is not granted.
	MaxHosts int

	mu              sync.Mutex
	pools           map[id.Workspace]*ratelimit.Pool
	claims          map[id.Slot]claim
	grantsStoppedAt map[id.Slot]time.Time
}

// claim is the time at which this host claimed a slot; forced is set if the previous owner had not released it.
type claim struct {
	claimedAt time.Time
	forced    bool
}

// RecordClaims records that this host claimed slots; forced is set if their previous owner had not released them.
func (o *BucketOwner) RecordClaims(now time.Time, slots []id.Slot, forced bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.claims == nil {
		o.claims = make(map[id.Slot]claim)
	}
	for _, slot := range slots {
		o.claims[slot] = claim{claimedAt: now, forced: forced}
		delete(o.grantsStoppedAt, slot)
	}
}

// BucketLevel is the level of a workspace's bucket, in requests.
type BucketLevel struct {
	Workspace id.Workspace
	Requests  float64
}

// StopGrants stops granting for slots before their release is appended, so that no grant follows it, and returns the levels
// of their buckets.
func (o *BucketOwner) StopGrants(now time.Time, slots []id.Slot, epochOf func(id.Slot) id.Epoch) []BucketLevel {
	o.mu.Lock()
	defer o.mu.Unlock()
	var levels []BucketLevel
	for workspace, pool := range o.pools {
		slot := id.WorkspaceSlot(workspace)
		level, ok := pool.Level(epochOf(slot))
		if ok && slices.Contains(slots, slot) {
			levels = append(levels, BucketLevel{Workspace: workspace, Requests: level})
		}
	}
	if o.grantsStoppedAt == nil {
		o.grantsStoppedAt = make(map[id.Slot]time.Time)
	}
	for _, slot := range slots {
		o.grantsStoppedAt[slot] = now
	}

	return levels
}

// SlotOwnership is the state of a bucket's slot, from the projection of the log.
type SlotOwnership struct {
	SelfID    id.Host
	SlotID    id.Slot
	SlotState projection.SlotState
	// LogReadAt is the time of this host's last read from the log.
	LogReadAt time.Time
	// ReleasedLevel is the bucket's level that the previous owner released, in requests.
	ReleasedLevel float64
}

// Grant grants up to want requests of a workspace. It returns an OwnerChanged error if this host does not own the slot or
// is about to release it, and LogUnavailable if the host cannot read the log.
func (o *BucketOwner) Grant(now time.Time, workspace *settings.Workspace, ownership SlotOwnership, want int64) (ratelimit.Grant, error) {
	if ownership.SlotState.State != projection.SlotOwned || ownership.SlotState.Owner != ownership.SelfID {
		return ratelimit.Grant{}, apierror.New(apierror.OwnerChanged, "host %s does not own the rate limit of workspace %s", ownership.SelfID, workspace.ID).
			WithRetryAfter(ownerRetryAfter)
	}
	if now.Sub(ownership.LogReadAt) > maxLogReadAge {
		return ratelimit.Grant{}, apierror.New(apierror.LogUnavailable, "the owner of the rate limit of workspace %s cannot read the log", workspace.ID).
			WithRetryAfter(ownerRetryAfter)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if stoppedAt, ok := o.grantsStoppedAt[ownership.SlotID]; ok && now.Sub(stoppedAt) < releaseTimeout {
		return ratelimit.Grant{}, apierror.New(apierror.OwnerChanged, "the owner of the rate limit of workspace %s is changing", workspace.ID).
			WithRetryAfter(ownerRetryAfter)
	}
	split := ratelimit.NewSplit(float64(workspace.Rate), float64(workspace.Burst), o.MaxHosts)

	return o.workspacePool(workspace.ID).Grant(now, split, o.handover(now, ownership), want), nil
}

func (o *BucketOwner) workspacePool(workspace id.Workspace) *ratelimit.Pool {
	if o.pools == nil {
		o.pools = make(map[id.Workspace]*ratelimit.Pool)
	}
	pool, ok := o.pools[workspace]
	if !ok {
		pool = &ratelimit.Pool{}
		o.pools[workspace] = pool
	}

	return pool
}

// handover describes how this host acquired the slot, with the time for which grants of the previous owner may still be used.
func (o *BucketOwner) handover(now time.Time, ownership SlotOwnership) ratelimit.Handover {
	lastClaim := o.claims[ownership.SlotID]
	if lastClaim.claimedAt.IsZero() {
		lastClaim = claim{claimedAt: now, forced: true}
	}
	handover := ratelimit.Handover{Epoch: ownership.SlotState.Epoch, AcquiredAt: lastClaim.claimedAt}
	switch {
	case ownership.SlotState.BucketsUnused:
		handover.StartFull = true
	case lastClaim.forced:
		handover.GracePeriod = maxLogReadAge + ratelimit.MaxLease + clockDriftMargin
	default:
		handover.GracePeriod = ratelimit.MaxLease + clockDriftMargin
		handover.Level = ownership.ReleasedLevel
	}

	return handover
}
