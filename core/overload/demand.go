package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant of rates of first turns; it is short so that they follow a step in load.
	rateWindow = 2 * time.Second
	// classWindow is the time constant of the shares of routes; one host may get less than one first turn a second.
	classWindow = 10 * time.Second
	// floorShare is the least fraction of a route relative to that of all routes together.
	floorShare = 0.25
)

// Rate is an exponentially weighted rate of events; its zero value is zero.
type Rate struct {
	count float64
	at    time.Time
}

// Add counts an event.
func (r *Rate) Add(now time.Time) { r.add(now, rateWindow) }

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	return r.value(now, rateWindow) / rateWindow.Seconds()
}

func (r *Rate) add(now time.Time, window time.Duration) { r.count, r.at = r.value(now, window)+1, now }

func (r *Rate) value(now time.Time, window time.Duration) float64 {
	if r.count == 0 {
		return 0
	}

	return r.count * math.Exp(-now.Sub(r.at).Seconds()/window.Seconds())
}

// Classes counts the first turns of a service by route, to refuse those of lower priority first; its zero value is empty.
type Classes struct {
	byPriority map[int]*Rate
}

// Add counts a first turn of a route; priority 0 is the highest.
func (c *Classes) Add(now time.Time, priority int) {
	if c.byPriority == nil {
		c.byPriority = make(map[int]*Rate)
	}
	rate, ok := c.byPriority[priority]
	if !ok {
		rate = &Rate{}
		c.byPriority[priority] = rate
	}
	rate.add(now, classWindow)
}

// Shares returns the shares of the routes' first turns for a route of a priority.
func (c *Classes) Shares(now time.Time, priority int) ClassShares {
	counts := make(map[int]float64, len(c.byPriority))
	sum := 0.0
	for p, rate := range c.byPriority {
		counts[p] = rate.value(now, classWindow)
		sum += counts[p]
	}
	priorities := make([]int, 0, len(counts))
	for p := range counts {
		priorities = append(priorities, p)
	}
	slices.SortFunc(priorities, cmp.Compare[int])
	var shares ClassShares
	for _, p := range priorities {
		switch {
		case p < priority:
			shares.Higher += counts[p] / sum
		case p == priority:
			shares.Own = counts[p] / sum
		}
	}

	return shares
}

// ClassShares are the parts of all first turns that have a higher priority and the same priority; its zero value means that all
// have the same.
type ClassShares struct {
	Higher float64
	Own    float64
}

// Fraction returns the part of the first turns of a priority that start if a given part of all start. Each priority gets at
// least a quarter of the common fraction, and the highest gets the rest first.
func (s ClassShares) Fraction(common float64) float64 {
	if s.Own <= 0 || common >= 1 {
		return common
	}
	floor := floorShare * common
	left := max(0, common-floor-s.Higher*(1-floor))

	return floor + min(1-floor, left/s.Own)
}
