package limiter

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
	// grantStale is how long an owner that hears nothing from the log goes on granting.
	grantStale = 3 * time.Second
	// grantDrift allows for clocks that run at different speeds, and for answers on their way.
	grantDrift = 250 * time.Millisecond
	// stopTime is how long an owner that meant to release a slot stops granting if the release never came about.
	stopTime = 10 * time.Second
)

// Pools is the owner's side of the buckets whose slots this host owns; its zero value is ready.
type Pools struct {
	// MaxHosts is the largest number of hosts that the fleet may have.
	MaxHosts int

	mu      sync.Mutex
	pools   map[id.Workspace]*ratelimit.Pool
	claims  map[id.Slot]claim
	stopped map[id.Slot]time.Time
}

type claim struct {
	since  time.Time
	forced bool
}

// Claimed notes when this host took slots, and whether their last owner had released them.
func (p *Pools) Claimed(now time.Time, slots []id.Slot, forced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claims == nil {
		p.claims = make(map[id.Slot]claim)
	}
	for _, slot := range slots {
		p.claims[slot] = claim{since: now, forced: forced}
		delete(p.stopped, slot)
	}
}

// Level is what a workspace's bucket holds.
type Level struct {
	Workspace id.Workspace
	Requests  float64
}

// Stop ends grants for slots before their release is appended, so that none follows it, and returns what their buckets hold.
func (p *Pools) Stop(now time.Time, slots []id.Slot, epochOf func(id.Slot) id.Epoch) []Level {
	p.mu.Lock()
	defer p.mu.Unlock()
	var levels []Level
	for workspace, pool := range p.pools {
		slot := id.WorkspaceSlot(workspace)
		level, ok := pool.Level(epochOf(slot))
		if ok && slices.Contains(slots, slot) {
			levels = append(levels, Level{Workspace: workspace, Requests: level})
		}
	}
	if p.stopped == nil {
		p.stopped = make(map[id.Slot]time.Time)
	}
	for _, slot := range slots {
		p.stopped[slot] = now
	}

	return levels
}

// Owner is what the fold says of a bucket's slot.
type Owner struct {
	Self  id.Host
	Slot  id.Slot
	State projection.SlotState
	// Heard is when the log last answered this host.
	Heard time.Time
	// Level is what the last owner handed over.
	Level float64
}

// Grant grants requests of a workspace, or refuses where this host may not.
func (p *Pools) Grant(now time.Time, workspace *settings.Workspace, owner Owner, want int64) (ratelimit.Grant, error) {
	if owner.State.State != projection.SlotOwned || owner.State.Owner != owner.Self {
		return ratelimit.Grant{}, apierror.New(apierror.OwnerChanged, "host %s does not own the bucket of %s", owner.Self, workspace.ID).
			WithRetryAfter(ownerRetry)
	}
	if now.Sub(owner.Heard) > grantStale {
		return ratelimit.Grant{}, apierror.New(apierror.LogUnavailable, "the owner of the bucket of %s does not reach the log", workspace.ID).
			WithRetryAfter(ownerRetry)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if stopped, ok := p.stopped[owner.Slot]; ok && now.Sub(stopped) < stopTime {
		return ratelimit.Grant{}, apierror.New(apierror.OwnerChanged, "the bucket of %s is about to change hands", workspace.ID).
			WithRetryAfter(ownerRetry)
	}
	split := ratelimit.NewSplit(float64(workspace.Rate), float64(workspace.Burst), p.MaxHosts)

	return p.pool(workspace.ID).Grant(now, split, p.handover(now, owner), want), nil
}

func (p *Pools) pool(workspace id.Workspace) *ratelimit.Pool {
	if p.pools == nil {
		p.pools = make(map[id.Workspace]*ratelimit.Pool)
	}
	pool, ok := p.pools[workspace]
	if !ok {
		pool = &ratelimit.Pool{}
		p.pools[workspace] = pool
	}

	return pool
}

// handover says how long grants of an earlier owner may still be used.
func (p *Pools) handover(now time.Time, owner Owner) ratelimit.Handover {
	since := p.claims[owner.Slot]
	if since.since.IsZero() {
		since = claim{since: now, forced: true}
	}
	handover := ratelimit.Handover{Epoch: owner.State.Epoch, AcquiredAt: since.since}
	switch {
	case owner.State.BucketsUnused:
		handover.StartFull = true
	case since.forced:
		handover.GracePeriod = grantStale + ratelimit.MaxLease + grantDrift
	default:
		handover.GracePeriod = ratelimit.MaxLease + grantDrift
		handover.Level = owner.Level
	}

	return handover
}
