package upstreamstats

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

const (
	// speedWindow is the time over which tokens are averaged to one sample, and speedWindows the number of samples of which the
	// median counts: a disturbance of half a second fills at most three of them.
	speedWindow  = 250 * time.Millisecond
	speedWindows = 9
	// speedTTL is the age at which a sample does not count any more.
	speedTTL = 30 * time.Second
	// speedPriorWindows is the number of samples at which an upstream's own median has the same weight as its service's average.
	speedPriorWindows = 4
	// serviceSpeedWeight is the weight of a sample in the average of its service.
	serviceSpeedWeight = 0.05
	// maxSpeedRatio bounds an upstream's estimate relative to the average of its service, in both directions.
	maxSpeedRatio = 2.5
)

// speedSample is the time per unit of work in a window that began at a time.
type speedSample struct {
	at            time.Time
	millisPerUnit float64
}

// upstreamSpeed holds the last samples of an upstream and the window that is not closed yet.
type upstreamSpeed struct {
	samples       []speedSample
	windowAt      time.Time
	millis, units float64
}

// SpeedTracker learns the speed of upstreams from work as it is done; its zero value is empty. It is robust against short
// disturbances, where Tracker follows them.
type SpeedTracker struct {
	upstreams map[id.Upstream]*upstreamSpeed
	services  map[id.Service]float64
}

// Record adds units of work that an upstream has done, and the time that they took without other load.
func (t *SpeedTracker) Record(now time.Time, service id.Service, upstream id.Upstream, units, millis float64) {
	if units <= 0 || millis < 0 {
		return
	}
	if t.upstreams == nil {
		t.upstreams = make(map[id.Upstream]*upstreamSpeed)
		t.services = make(map[id.Service]float64)
	}
	speed, ok := t.upstreams[upstream]
	if !ok {
		speed = &upstreamSpeed{windowAt: now}
		t.upstreams[upstream] = speed
	}
	if now.Sub(speed.windowAt) >= speedWindow && speed.units > 0 {
		t.closeWindow(service, speed)
		speed.windowAt = now
	}
	speed.units += units
	speed.millis += millis
}

func (t *SpeedTracker) closeWindow(service id.Service, speed *upstreamSpeed) {
	sample := speedSample{at: speed.windowAt, millisPerUnit: speed.millis / speed.units}
	if len(speed.samples) == speedWindows {
		speed.samples = slices.Delete(speed.samples, 0, 1)
	}
	speed.samples = append(speed.samples, sample)
	speed.units, speed.millis = 0, 0
	average, ok := t.services[service]
	if !ok {
		average = sample.millisPerUnit
	}
	t.services[service] = average + serviceSpeedWeight*(min(sample.millisPerUnit, maxSpeedRatio*average)-average)
}

// MillisPerUnit returns the estimate of an upstream's time for one unit of work: the median of its recent samples, moved towards
// the average of its service while they are few, or the fallback if nothing is known.
func (t *SpeedTracker) MillisPerUnit(now time.Time, service id.Service, upstream id.Upstream, fallback float64) float64 {
	average, ok := t.services[service]
	if !ok {
		return fallback
	}
	speed, ok := t.upstreams[upstream]
	if !ok {
		return average
	}
	var recent [speedWindows]float64
	n := 0
	for _, sample := range speed.samples {
		if now.Sub(sample.at) <= speedTTL {
			recent[n] = sample.millisPerUnit
			n++
		}
	}
	if n == 0 {
		return average
	}
	slices.Sort(recent[:n])
	median := recent[(n-1)/2]
	estimate := average + (median-average)*float64(n)/float64(n+speedPriorWindows)

	return min(max(estimate, average/maxSpeedRatio), average*maxSpeedRatio)
}

// SampleAge returns the age of an upstream's latest sample, and false if MillisPerUnit does not use its samples.
func (t *SpeedTracker) SampleAge(now time.Time, upstream id.Upstream) (time.Duration, bool) {
	speed, ok := t.upstreams[upstream]
	if !ok || len(speed.samples) == 0 {
		return 0, false
	}
	age := now.Sub(speed.samples[len(speed.samples)-1].at)

	return age, age <= speedTTL
}

// RemoveUnlisted removes upstreams that are not listed any more.
func (t *SpeedTracker) RemoveUnlisted(isListed func(id.Upstream) bool) {
	for upstream := range t.upstreams {
		if !isListed(upstream) {
			delete(t.upstreams, upstream)
		}
	}
}
