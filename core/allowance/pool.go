package allowance

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// Lease is how long an allowance may be used.
	Lease = 400 * time.Millisecond
	// returnLimit is how long after a grant its unused part may still go back.
	returnLimit = 3 * time.Second
	// startLevel is what a new owner's bucket holds, in seconds of the rate: its predecessor may have granted
	// the whole burst a moment ago, and a tenth of the rate over the window is all that may be admitted beyond.
	startLevel = 0.4
)

// Limit is a workspace's rate in requests a second, and its burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
}

// Scaled returns the part of a limit.
func (l Limit) Scaled(part float64) Limit { return Limit{Rate: l.Rate * part, Burst: l.Burst * part} }

type grant struct {
	requests int64
	at       time.Time
}

// Pool is the owner's side of a workspace's bucket; its zero value starts at its first use.
type Pool struct {
	// Full is set where there was no owner before, so that the bucket starts full.
	Full bool

	level  float64
	filled time.Time
	grants map[id.Host]grant
}

// Ask settles a host's last allowance, of which it used a part, and grants up to want requests. Where none can be
// granted it returns when to ask again.
func (p *Pool) Ask(now time.Time, limit Limit, host id.Host, used, want int64) (granted int64, retry time.Duration) {
	p.fill(now, limit)
	if p.grants == nil {
		p.grants = make(map[id.Host]grant)
	}
	if last, ok := p.grants[host]; ok {
		if unused := last.requests - used; unused > 0 && now.Sub(last.at) < returnLimit {
			p.level = min(limit.Burst, p.level+float64(unused))
		} else if unused < 0 {
			p.level += float64(unused)
		}
		delete(p.grants, host)
	} else {
		p.level -= float64(used)
	}
	granted = min(want, int64(math.Floor(p.level)))
	if granted > 0 {
		p.level -= float64(granted)
		p.grants[host] = grant{requests: granted, at: now}

		return granted, 0
	}
	if limit.Rate <= 0 {
		return 0, returnLimit
	}

	return 0, time.Duration((1 - p.level) / limit.Rate * float64(time.Second))
}

func (p *Pool) fill(now time.Time, limit Limit) {
	if p.filled.IsZero() {
		p.filled = now
		p.level = min(limit.Burst, limit.Rate*startLevel)
		if p.Full {
			p.level = limit.Burst
		}
	}
	if elapsed := now.Sub(p.filled).Seconds(); elapsed > 0 {
		p.level += elapsed * limit.Rate
		p.filled = now
	}
	p.level = min(limit.Burst, p.level)
}
