package ratelimit

import (
	"time"

	"cardamomward/core/id"
)

// Grant is what the owner of a workspace's bucket answers a host.
type Grant struct {
	// Requests may be admitted until Lease has passed since the host asked.
	Requests int64
	Lease    time.Duration
	// RetryAfter is when to ask again after an empty grant.
	RetryAfter time.Duration
}

// Pool is the owner's side of a workspace's bucket; its zero value belongs to no epoch.
type Pool struct {
	bucket Bucket
	epoch  id.Epoch
	opens  time.Time
}

// Handover says how the present owner got the slot.
type Handover struct {
	Epoch id.Epoch
	// AcquiredAt is when this host learned that it owns the slot.
	AcquiredAt time.Time
	// GracePeriod is how long grants of an earlier owner may still be given and used after Since.
	GracePeriod time.Duration
	// Level is what the last owner handed over.
	Level float64
	// StartFull is set where there was no earlier owner, so that the bucket starts full.
	StartFull bool
}

// Grant gives up to want requests; a new owner waits out the grants of the last one and starts with what that handed over.
func (p *Pool) Grant(now time.Time, split Split, handover Handover, want int64) Grant {
	if p.epoch != handover.Epoch {
		p.epoch = handover.Epoch
		p.opens = handover.AcquiredAt.Add(handover.GracePeriod)
		p.bucket = NewWithLevel(p.opens, handover.Level)
		if handover.StartFull {
			p.bucket = Bucket{}
		}
	}
	if now.Before(p.opens) {
		return Grant{RetryAfter: p.opens.Sub(now)}
	}
	taken, wait := p.bucket.Take(now, split.PoolRate, split.PoolBurst, want)

	return Grant{Requests: taken, Lease: split.Lease, RetryAfter: wait}
}

// Level returns what the pool holds under an epoch.
func (p *Pool) Level(epoch id.Epoch) (float64, bool) {
	if p.epoch != epoch {
		return 0, false
	}

	return p.bucket.Level(), true
}
