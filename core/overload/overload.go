package overload

import (
	"time"

	"cardamomward/core/fairshare"
	"cardamomward/core/id"
)

const (
	// band is the excess over a workspace's share at which none of its programs start any more, as a part of the share. Upstreams
	// queue at most that part of their slots in equilibrium, which lengthens a turn by as much. A band of 0.2 is stable while
	// the view's age is below a third of the time for which a program runs.
	band = 0.2
	// minShare is the least share of a workspace in slots, so that one slot more is not refused at small services.
	minShare = 1.0
	// minViewAge bounds the age of a view from below: heartbeats take that long between two hosts.
	minViewAge = 100 * time.Millisecond
)

// Limits of the Retry-After of a refused program.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// View is the state of a service's upstreams as a host knows it.
type View struct {
	// Slots is the number of requests that the eligible upstreams run at a time, and Running what they run or queue.
	Slots   int
	Running int
	// Free is the sum of the free slots of upstreams that have some, not reduced by the queues of others.
	Free int
	// StartsPerSecond is the rate of first turns that all hosts receive for the service.
	StartsPerSecond float64
	// Age is the mean age of the loads of other hosts.
	Age time.Duration
	// Workspaces are the running requests of workspaces, and may be older than Running.
	Workspaces []fairshare.Load
}

// Occupancy is the running requests as a part of the slots; it exceeds 1 while upstreams queue.
func (v View) Occupancy() float64 { return float64(v.Running) / float64(max(1, v.Slots)) }

// Reason says why a program may not start.
type Reason string

// Values of Reason.
const (
	// OverShare means that the workspace exceeds its share while others are below theirs.
	OverShare Reason = "over-share"
	// Overloaded means that the whole service is full.
	Overloaded Reason = "overloaded"
)

// Decision is the result of Decide.
type Decision struct {
	Admit bool
	// Fraction is the part of such programs that start now.
	Fraction float64
	// Share is the workspace's share in slots; zero while all loads fit.
	Share      float64
	RetryAfter time.Duration
	Reason     Reason
}

// Decide decides whether a program of a workspace and a route may start. Draw is a random number in [0, 1), by which the hosts
// together admit the fraction; another host or a later attempt draws anew.
func Decide(view View, workspace id.Workspace, route ClassShares, draw float64) Decision {
	workspaceFraction, share, reason := workspaceFraction(view, workspace)
	fraction := max(route.Fraction(workspaceFraction), view.freeFraction())
	if draw < fraction {
		return Decision{Admit: true, Fraction: fraction, Share: share}
	}

	return Decision{Fraction: fraction, Share: share, Reason: reason, RetryAfter: retryAfter(fraction, draw)}
}

// workspaceFraction returns the part of a workspace's programs that may start, and its share in slots.
func workspaceFraction(view View, workspace id.Workspace) (fraction, share float64, reason Reason) {
	if view.Running <= view.Slots || view.Slots <= 0 {
		return 1, 0, ""
	}
	loads := scaleLoads(view, workspace)
	level := fairshare.Level(float64(view.Slots), loads)
	below := 0
	used, weight := 0.0, 1.0
	for _, load := range loads {
		if load.Used < level*load.Weight {
			below++
		}
		if load.Workspace == workspace {
			used, weight = load.Used, load.Weight
		}
	}
	share = max(minShare, level*weight)
	reason = Overloaded
	if below > 0 {
		reason = OverShare
	}

	return clamp(1 - (used/share-1)/band), share, reason
}

// scaleLoads returns the loads of workspaces with weights above zero, scaled to the sum of the running requests: they are
// reported less often than the loads of upstreams, and not by all hosts. If none are reported, all requests count as the given
// workspace's.
func scaleLoads(view View, workspace id.Workspace) []fairshare.Load {
	sum := 0.0
	for _, load := range view.Workspaces {
		sum += load.Used
	}
	if sum <= 0 {
		return []fairshare.Load{{Workspace: workspace, Used: float64(view.Running), Weight: 1}}
	}
	loads := make([]fairshare.Load, 0, len(view.Workspaces))
	for _, load := range view.Workspaces {
		if load.Weight <= 0 {
			load.Weight = 1
		}
		load.Used *= float64(view.Running) / sum
		loads = append(loads, load)
	}

	return loads
}

// freeFraction returns the part of the first turns that the free slots can take until all hosts know that they are taken. A slot
// that is free in the view of 300 hosts is filled by one of them, not by 300.
func (v View) freeFraction() float64 {
	starts := v.StartsPerSecond * max(minViewAge, v.Age).Seconds()
	switch {
	case v.Slots <= 0:
		return 1
	case v.Free <= 0:
		return 0
	case starts <= 0:
		return 1
	}

	return clamp(float64(v.Free) / starts)
}

// retryAfter returns how long a refused program should wait: longer the fewer programs start, and spread by the draw so that
// programs that were refused together do not return together.
func retryAfter(fraction, draw float64) time.Duration {
	wait := time.Duration(float64(minRetryAfter) * (0.75 + draw/2) / max(fraction, 1.0/8))

	return max(minRetryAfter, min(maxRetryAfter, wait))
}

func clamp(fraction float64) float64 { return max(0, min(1, fraction)) }
