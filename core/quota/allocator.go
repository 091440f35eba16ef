package quota

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// LeaseDuration is how long an allowance may be used.
	LeaseDuration = 400 * time.Millisecond
	// returnLimit is how long after a grant its unused part may still go back.
	returnLimit = 3 * time.Second
	// startLevel is what a new owner's bucket holds, in seconds of the rate: its predecessor may have granted
	// the whole burst a moment ago, and a tenth of the rate over the window is all that may be admitted beyond.
	startLevel = 0.4
	// startSlack is the part of the requests that may be admitted beyond the rate in any window that a new owner's
	// bucket holds besides, so that four owners in a window stay within them.
	startSlack = 0.25
	// startsAhead is how many seconds of the rate programs may be begun ahead, since their requests come over time.
	startsAhead = 0.2
	// startsShare is the part of the rate that is promised to programs that begin; the rest is for what they need beyond
	// the average.
	startsShare = 0.9
	// firstGuess is how many requests a program is taken to need before any was seen.
	firstGuess = 12.0
	// guessWeight is how many programs the guess counts for.
	guessWeight = 6.0
	// programTime is about how long a program takes to ask for what it needs; a start counts as it grows that old.
	programTime = 1500 * time.Millisecond
	// countHalfLife is how long it takes until a request or start counts half in the requests of a program.
	countHalfLife = 20 * time.Second
)

// Limit is a workspace's rate in requests a second, and its burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
}

// Scale returns the part of a limit.
func (l Limit) Scale(part float64) Limit { return Limit{Rate: l.Rate * part, Burst: l.Burst * part} }

type grant struct {
	requests int64
	at       time.Time
}

// Allocator is the owner's side of a workspace's bucket; its zero value starts at its first use.
type Allocator struct {
	// StartFull is set where there was no owner before, so that the bucket starts full.
	StartFull bool
	// SlackRequests is how many requests may be admitted beyond the rate in any window.
	SlackRequests float64

	level  float64
	filled time.Time
	grants map[id.Host]grant
	// open is what may still be promised to programs that begin, in requests.
	open float64
	// requests and starts are counted to learn what a program needs; older ones count less.
	requests float64
	starts   float64
	young    float64
	counted  time.Time
	unmet    map[id.Host]time.Time
}

// Allocate settles a host's last allowance, of which it used a part, and grants up to want requests. Where none can be
// granted it returns when to ask again.
func (p *Allocator) Allocate(now time.Time, limit Limit, host id.Host, used, want int64) (granted int64, retry time.Duration) {
	p.fill(now, limit)
	p.count(now, float64(used), 0)
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
	if want > 0 {
		p.countUnmet(now, host)
	}
	if limit.Rate <= 0 {
		return 0, returnLimit
	}

	return 0, time.Duration((1 - p.level) / limit.Rate * float64(time.Second))
}

// AdmitProgram admits the first request of a program where the rate holds the requests that the program will need, or returns
// when to ask again: a program that begins and is refused midway serves nobody.
func (p *Allocator) AdmitProgram(now time.Time, limit Limit) (ok bool, retry time.Duration) {
	p.fill(now, limit)
	need := min(p.perProgram(now), p.mostOpen(limit))
	if limit.Rate <= 0 {
		return false, returnLimit
	}
	if short := max(need-p.open, 1-p.level); short > 0 {
		return false, time.Duration(short / limit.Rate * float64(time.Second))
	}
	p.open -= need
	p.level--
	p.count(now, 1, 1)

	return true, 0
}

func (p *Allocator) mostOpen(limit Limit) float64 { return limit.Burst + startsAhead*limit.Rate }

// count adds requests and starts to those that have faded.
func (p *Allocator) count(now time.Time, requests, starts float64) {
	if elapsed := now.Sub(p.counted).Seconds(); !p.counted.IsZero() && elapsed > 0 {
		fade := math.Exp2(-elapsed / countHalfLife.Seconds())
		p.requests *= fade
		p.starts *= fade
		grown := p.young * (1 - math.Exp(-elapsed/programTime.Seconds()))
		p.young -= grown
		p.starts += grown
	}
	p.counted = now
	p.requests += requests
	p.young += starts
}

// countUnmet counts a request that found nothing, since its program needed it too; a host that asks again counts once.
func (p *Allocator) countUnmet(now time.Time, host id.Host) {
	if p.unmet == nil {
		p.unmet = make(map[id.Host]time.Time)
	}
	if last, ok := p.unmet[host]; ok && now.Sub(last) < LeaseDuration {
		return
	}
	p.unmet[host] = now
	p.count(now, 1, 0)
}

// perProgram returns how many requests a program needs.
func (p *Allocator) perProgram(now time.Time) float64 {
	p.count(now, 0, 0)

	return (p.requests + firstGuess*guessWeight) / (p.starts + guessWeight)
}

func (p *Allocator) fill(now time.Time, limit Limit) {
	if p.filled.IsZero() {
		p.filled = now
		p.level = min(limit.Burst, limit.Rate*startLevel+startSlack*p.SlackRequests)
		p.open = p.mostOpen(limit)
		if p.StartFull {
			p.level = limit.Burst
		}
	}
	if elapsed := now.Sub(p.filled).Seconds(); elapsed > 0 {
		p.level += elapsed * limit.Rate
		p.open += elapsed * limit.Rate * startsShare
		p.filled = now
	}
	p.level = min(limit.Burst, p.level)
	p.open = min(p.mostOpen(limit), p.open)
}
