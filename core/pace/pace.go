package pace

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// weight is that of the newest sample.
	weight = 0.15
	// failureHalfLife is how long it takes until a failure counts half.
	failureHalfLife = 3 * time.Second
	// forget is how long a pace is believed without a new sample.
	forget = 6 * time.Second
)

type track struct {
	pace    float64
	sampled time.Time
	failing float64
	failed  time.Time
}

// Paces follows upstreams; its zero value knows none.
type Paces struct {
	tracks map[id.Upstream]*track
	// usual is the pace over all upstreams of a service.
	usual map[id.Service]float64
}

// Sample notes how long an upstream took, in milliseconds for a unit of work.
func (p *Paces) Sample(now time.Time, service id.Service, upstream id.Upstream, ms float64) {
	t := p.track(upstream)
	if t.sampled.IsZero() || now.Sub(t.sampled) > forget {
		t.pace = ms
	}
	t.pace += weight * (ms - t.pace)
	t.sampled = now
	if p.usual == nil {
		p.usual = make(map[id.Service]float64)
	}
	if usual, ok := p.usual[service]; ok {
		p.usual[service] = usual + weight/4*(ms-usual)
	} else {
		p.usual[service] = ms
	}
}

// Failed notes that an upstream failed a request.
func (p *Paces) Failed(now time.Time, upstream id.Upstream) {
	t := p.track(upstream)
	t.failing = t.decayed(now) + 1
	t.failed = now
}

// Pace returns an upstream's milliseconds for a unit of work; those that are not known are taken to be as usual for
// their service, or as given where nothing is known.
func (p *Paces) Pace(now time.Time, service id.Service, upstream id.Upstream, otherwise float64) float64 {
	if t, ok := p.tracks[upstream]; ok && !t.sampled.IsZero() && now.Sub(t.sampled) <= forget {
		return t.pace
	}
	if usual, ok := p.usual[service]; ok {
		return usual
	}

	return otherwise
}

// Failing returns how many failures stand against an upstream; old ones count less.
func (p *Paces) Failing(now time.Time, upstream id.Upstream) float64 {
	t, ok := p.tracks[upstream]
	if !ok {
		return 0
	}

	return t.decayed(now)
}

func (t *track) decayed(now time.Time) float64 {
	if t.failing == 0 {
		return 0
	}

	return t.failing * math.Exp2(-now.Sub(t.failed).Seconds()/failureHalfLife.Seconds())
}

func (p *Paces) track(upstream id.Upstream) *track {
	if p.tracks == nil {
		p.tracks = make(map[id.Upstream]*track)
	}
	t, ok := p.tracks[upstream]
	if !ok {
		t = &track{}
		p.tracks[upstream] = t
	}

	return t
}

// Expire forgets upstreams that are not listed any more.
func (p *Paces) Expire(listed func(id.Upstream) bool) {
	for upstream := range p.tracks {
		if !listed(upstream) {
			delete(p.tracks, upstream)
		}
	}
}
