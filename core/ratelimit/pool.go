package ratelimit

import (
	"time"

	"cardamomward/core/id"
)

// Grant is the owner's answer to a host that asks for requests.
type Grant struct {
	// Requests is the number of requests that may be admitted until Lease has passed since the host asked.
	Requests int64
	Lease    time.Duration
	// RetryAfter is the retry delay after an empty grant.
	RetryAfter time.Duration
}

// Pool is the owner's bucket of a workspace, from which it grants requests to hosts; its zero value belongs to no epoch.
type Pool struct {
	bucket Bucket
	epoch  id.Epoch
	// grantsFrom is the end of the handover's grace period, before which no requests are granted.
	grantsFrom time.Time
}

// Handover describes how the current owner acquired the slot of a workspace's pool.
type Handover struct {
	Epoch id.Epoch
	// AcquiredAt is when this host learned that it owns the slot.
	AcquiredAt time.Time
	// GracePeriod is how long after AcquiredAt grants of the previous owner may still be issued and used.
	GracePeriod time.Duration
	// Level is the number of tokens, one per request, that the previous owner had left in the pool.
	Level float64
	// StartFull is set if there was no previous owner, so that the bucket starts full.
	StartFull bool
}

// Grant grants up to want requests. A new owner grants none during the grace period of the handover and then starts at
// the handed-over level.
func (p *Pool) Grant(now time.Time, split Split, handover Handover, want int64) Grant {
	if p.epoch != handover.Epoch {
		p.epoch = handover.Epoch
		p.grantsFrom = handover.AcquiredAt.Add(handover.GracePeriod)
		p.bucket = NewWithLevel(p.grantsFrom, handover.Level)
		if handover.StartFull {
			p.bucket = Bucket{}
		}
	}
	if now.Before(p.grantsFrom) {
		return Grant{RetryAfter: p.grantsFrom.Sub(now)}
	}
	taken, wait := p.bucket.Take(now, split.PoolRate, split.PoolBurst, want)

	return Grant{Requests: taken, Lease: split.Lease, RetryAfter: wait}
}

// Level returns the number of tokens, one per request, in the pool, and false if the pool belongs to another epoch.
func (p *Pool) Level(epoch id.Epoch) (float64, bool) {
	if p.epoch != epoch {
		return 0, false
	}

	return p.bucket.Level(), true
}
