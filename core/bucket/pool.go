package bucket

import (
	"time"

	"cardamomward/core/id"
)

// Grant is what the owner of a workspace's bucket answers a host.
type Grant struct {
	// Requests may be admitted until Lease has passed since the host asked.
	Requests int64
	Lease    time.Duration
	// Retry is when to ask again after an empty grant.
	Retry time.Duration
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
	// Since is when this host learned that it owns the slot.
	Since time.Time
	// Wait is how long grants of an earlier owner may still be given and used after Since.
	Wait time.Duration
	// Level is what the last owner handed over.
	Level float64
	// Full is set where there was no earlier owner, so that the bucket starts full.
	Full bool
}

// Grant gives up to want requests; a new owner waits out the grants of the last one and starts with what that handed over.
func (p *Pool) Grant(now time.Time, split Split, handover Handover, want int64) Grant {
	if p.epoch != handover.Epoch {
		p.epoch = handover.Epoch
		p.opens = handover.Since.Add(handover.Wait)
		p.bucket = NewAt(p.opens, handover.Level)
		if handover.Full {
			p.bucket = Bucket{}
		}
	}
	if now.Before(p.opens) {
		return Grant{Retry: p.opens.Sub(now)}
	}
	taken, wait := p.bucket.Take(now, split.PoolRate, split.PoolBurst, want)

	return Grant{Requests: taken, Lease: split.Lease, Retry: wait}
}

// Level returns what the pool holds under an epoch.
func (p *Pool) Level(epoch id.Epoch) (float64, bool) {
	if p.epoch != epoch {
		return 0, false
	}

	return p.bucket.Level(), true
}
