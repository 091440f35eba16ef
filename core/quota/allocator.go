package quota

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// LeaseDuration is how long granted requests may be used, counted from when they were asked for.
	LeaseDuration = 400 * time.Millisecond
	// returnWindow is how long after a grant its unused requests may still be returned.
	returnWindow = 3 * time.Second
	// initialLevelSeconds is the initial level of a new owner's bucket, in seconds of the rate. The previous owner may
	// just have granted the whole burst, and only a tenth of the rate over the window may be admitted in excess.
	initialLevelSeconds = 0.4
	// initialSlackShare is the part of SlackRequests that is added to the initial level, so that four changes of the
	// owner in one window stay within SlackRequests.
	initialSlackShare = 0.25
	// programBurstSeconds is the part of the rate, in seconds, that may be promised to new programs in advance, since the requests
	// of a program are spread over time.
	programBurstSeconds = 0.2
	// programRateShare is the part of the rate that may be promised to new programs; the rest covers programs that need
	// more than the average.
	programRateShare = 0.9
	// priorRequestsPerProgram is the estimate of the requests per program before any was measured.
	priorRequestsPerProgram = 12.0
	// priorWeight is the weight of the prior estimate against measured programs, as a number of programs.
	priorWeight = 6.0
	// programDuration is the time constant with which a started program moves from recentProgramStarts into programStarts. It
	// is about the time in which a program sends its requests.
	programDuration = 1500 * time.Millisecond
	// countHalfLife is the half-life of the counts of requests and program starts.
	countHalfLife = 20 * time.Second
)

// Limit is a workspace's rate in requests per second and its burst in requests, the size of its token bucket.
type Limit struct {
	Rate  float64
	Burst float64
}

// Scale returns the limit multiplied by factor.
func (l Limit) Scale(factor float64) Limit {
	return Limit{Rate: l.Rate * factor, Burst: l.Burst * factor}
}

// grant is the latest number of requests that a host got.
type grant struct {
	requests  int64
	grantedAt time.Time
}

// Allocator is the owner's side of a workspace's quota; its zero value starts at its first use.
type Allocator struct {
	// StartFull is set if there was no previous owner, so that the bucket starts full.
	StartFull bool
	// SlackRequests is the number of requests that may be admitted beyond the rate in any window over which the platform
	// measures rates.
	SlackRequests float64

	// level is the number of requests in the bucket.
	level    float64
	filledAt time.Time
	grants   map[id.Host]grant
	// programLevel is the number of requests that may still be promised to new programs.
	programLevel float64
	// requests, programStarts and recentProgramStarts are decayed counts from which the requests per program are estimated.
	requests            float64
	programStarts       float64
	recentProgramStarts float64
	countedAt           time.Time
	// unmetCountedAt holds when an unmet demand of each host was last counted.
	unmetCountedAt map[id.Host]time.Time
}

// Allocate returns the unused part of a host's last grant to the bucket, where used is the number of requests that the host
// has admitted since, and grants up to want requests. If none is available, it returns when to ask again.
func (a *Allocator) Allocate(now time.Time, limit Limit, host id.Host, used, want int64) (granted int64, retryAfter time.Duration) {
	a.refill(now, limit)
	a.recordDemand(now, float64(used), 0)
	if a.grants == nil {
		a.grants = make(map[id.Host]grant)
	}
	if last, ok := a.grants[host]; ok {
		if unused := last.requests - used; unused > 0 && now.Sub(last.grantedAt) < returnWindow {
			a.level = min(limit.Burst, a.level+float64(unused))
		} else if unused < 0 {
			a.level += float64(unused)
		}
		delete(a.grants, host)
	} else {
		a.level -= float64(used)
	}
	granted = min(want, int64(math.Floor(a.level)))
	if granted > 0 {
		a.level -= float64(granted)
		a.grants[host] = grant{requests: granted, grantedAt: now}

		return granted, 0
	}
	if want > 0 {
		a.recordUnmetDemand(now, host)
	}
	if limit.Rate <= 0 {
		return 0, returnWindow
	}

	return 0, time.Duration((1 - a.level) / limit.Rate * float64(time.Second))
}

// AdmitProgram admits the first request of a program if the rate covers all requests that the program is expected to
// need, and otherwise returns when to ask again: a program that is refused midway wastes the requests it has used.
func (a *Allocator) AdmitProgram(now time.Time, limit Limit) (ok bool, retryAfter time.Duration) {
	a.refill(now, limit)
	neededRequests := min(a.estimateRequestsPerProgram(now), a.maxProgramLevel(limit))
	if limit.Rate <= 0 {
		return false, returnWindow
	}
	if missingRequests := max(neededRequests-a.programLevel, 1-a.level); missingRequests > 0 {
		return false, time.Duration(missingRequests / limit.Rate * float64(time.Second))
	}
	a.programLevel -= neededRequests
	a.level--
	a.recordDemand(now, 1, 1)

	return true, 0
}

func (a *Allocator) maxProgramLevel(limit Limit) float64 {
	return limit.Burst + programBurstSeconds*limit.Rate
}

// recordDemand decays the counts and adds requests and program starts to them.
func (a *Allocator) recordDemand(now time.Time, requests, starts float64) {
	if elapsed := now.Sub(a.countedAt).Seconds(); !a.countedAt.IsZero() && elapsed > 0 {
		decay := math.Exp2(-elapsed / countHalfLife.Seconds())
		a.requests *= decay
		a.programStarts *= decay
		noLongerRecent := a.recentProgramStarts * (1 - math.Exp(-elapsed/programDuration.Seconds()))
		a.recentProgramStarts -= noLongerRecent
		a.programStarts += noLongerRecent
	}
	a.countedAt = now
	a.requests += requests
	a.recentProgramStarts += starts
}

// recordUnmetDemand counts a request that got no grant, since its program needed it too. It counts a host at most once per
// lease duration, because the host repeats the request.
func (a *Allocator) recordUnmetDemand(now time.Time, host id.Host) {
	if a.unmetCountedAt == nil {
		a.unmetCountedAt = make(map[id.Host]time.Time)
	}
	if last, ok := a.unmetCountedAt[host]; ok && now.Sub(last) < LeaseDuration {
		return
	}
	a.unmetCountedAt[host] = now
	a.recordDemand(now, 1, 0)
}

func (a *Allocator) estimateRequestsPerProgram(now time.Time) float64 {
	a.recordDemand(now, 0, 0)

	return (a.requests + priorRequestsPerProgram*priorWeight) / (a.programStarts + priorWeight)
}

func (a *Allocator) refill(now time.Time, limit Limit) {
	if a.filledAt.IsZero() {
		a.filledAt = now
		a.level = min(limit.Burst, limit.Rate*initialLevelSeconds+initialSlackShare*a.SlackRequests)
		a.programLevel = a.maxProgramLevel(limit)
		if a.StartFull {
			a.level = limit.Burst
		}
	}
	if elapsed := now.Sub(a.filledAt).Seconds(); elapsed > 0 {
		a.level += elapsed * limit.Rate
		a.programLevel += elapsed * limit.Rate * programRateShare
		a.filledAt = now
	}
	a.level = min(limit.Burst, a.level)
	a.programLevel = min(a.maxProgramLevel(limit), a.programLevel)
}
