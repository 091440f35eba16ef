package quota

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// LeaseDuration is the lifetime of granted requests, counted from when they were asked for.
	LeaseDuration = 400 * time.Millisecond
	// returnWindow is the period after a grant in which its unused requests may be returned.
	returnWindow = 2 * time.Second
	// zeroRateRetryDelay is the retry delay of a workspace whose rate is zero.
	zeroRateRetryDelay = 3 * time.Second
	// excessSeconds and excessSlackShare bound what one change of the owner may admit in excess, in seconds of the rate
	// and as a part of SlackRequests. Four changes in one window stay within half a second of the rate and SlackRequests.
	excessSeconds    = 0.1
	excessSlackShare = 0.25
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

// changeExcess returns how many requests may be admitted in excess because the bucket has lost its owner.
func (l Limit) changeExcess(slackRequests float64) float64 {
	return excessSeconds*l.Rate + excessSlackShare*slackRequests
}

// grant is the lease that a host got last, and the one that it settled with it.
type grant struct {
	lease, previous LeaseNumber
	requests        int64
	// returnable is the number of requests that are kept free in the bucket until they are returned or returnWindow ends.
	returnable int64
	// isRecent is set until returnWindow ends.
	isRecent bool
}

// returnDeadline is the end of a grant's returnWindow.
type returnDeadline struct {
	host  id.Host
	lease LeaseNumber
	at    time.Time
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
	grants   map[id.Host]*grant
	// returnable is the sum over all grants, holders the number of recent ones, and returnDeadlines are those of the grants in
	// the order of time.
	returnable      int64
	holders         int
	returnDeadlines []returnDeadline
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

// Allocate settles a host's last lease and grants a new one of up to renewal.Want requests. If none is available, it returns
// when to ask again. A renewal that is older than the host's last one is ignored, unless the host has just started, since its
// clock may have been set back.
func (a *Allocator) Allocate(now time.Time, limit Limit, host id.Host, renewal Renewal) (granted int64, retryAfter time.Duration) {
	a.refill(now, limit)
	if last, ok := a.grants[host]; ok && renewal.Settles != 0 && renewal.Lease <= last.lease {
		return 0, LeaseDuration
	}
	a.settle(now, host, renewal)
	a.level = min(a.maxLevel(limit), a.level)
	if a.level >= 1 {
		granted = min(renewal.Want, max(1, a.fairShare(host)))
	}
	a.recordGrant(now, host, renewal, granted)
	if granted > 0 {
		return granted, 0
	}
	if renewal.Want > 0 {
		a.recordUnmetDemand(now, host)
	}
	if limit.Rate <= 0 {
		return 0, zeroRateRetryDelay
	}

	return 0, time.Duration((1 - a.level) / limit.Rate * float64(time.Second))
}

// fairShare returns a host's part of the bucket among the hosts that have lately got requests: what lies unused in a large lease
// is missing where others ask.
func (a *Allocator) fairShare(host id.Host) int64 {
	holders := a.holders
	if last, ok := a.grants[host]; !ok || !last.isRecent {
		holders++
	}

	return int64(a.level / float64(holders))
}

// settle returns the unused requests of a host's last lease to the bucket. A host that lost the reply to its last renewal
// settles the lease before that one again: it has used none of the requests that it does not know of.
func (a *Allocator) settle(now time.Time, host id.Host, renewal Renewal) {
	last, ok := a.grants[host]
	used := renewal.Used
	switch {
	case !ok || renewal.Settles == 0 || (renewal.Settles != last.lease && renewal.Settles != last.previous):
		a.level -= float64(used)
		a.recordDemand(now, float64(used), 0)

		return
	case renewal.Settles == last.previous:
		used = 0
	}
	a.recordDemand(now, float64(used), 0)
	a.level += float64(min(last.requests-used, last.returnable))
	a.endGrant(last)
}

// recordGrant takes granted requests out of the bucket. The first one is used at once, by the request that asked; the others
// may be returned.
func (a *Allocator) recordGrant(now time.Time, host id.Host, renewal Renewal, granted int64) {
	if a.grants == nil {
		a.grants = make(map[id.Host]*grant)
	}
	if last, ok := a.grants[host]; ok {
		a.endGrant(last)
	}
	next := &grant{lease: renewal.Lease, previous: renewal.Settles, requests: granted, returnable: max(0, granted-1), isRecent: granted > 0}
	a.grants[host] = next
	if granted == 0 {
		return
	}
	a.level -= float64(granted)
	a.returnable += next.returnable
	a.holders++
	a.returnDeadlines = append(a.returnDeadlines, returnDeadline{host: host, lease: next.lease, at: now.Add(returnWindow)})
}

// endGrant ends the time in which a grant's requests may be returned.
func (a *Allocator) endGrant(g *grant) {
	a.returnable -= g.returnable
	if g.isRecent {
		a.holders--
	}
	g.returnable, g.isRecent = 0, false
}

// endOldGrants ends the grants whose returnWindow has passed.
func (a *Allocator) endOldGrants(now time.Time) {
	expired := 0
	for _, deadline := range a.returnDeadlines {
		if deadline.at.After(now) {
			break
		}
		expired++
		if g := a.grants[deadline.host]; g != nil && g.lease == deadline.lease {
			a.endGrant(g)
		}
	}
	a.returnDeadlines = a.returnDeadlines[expired:]
}

// maxLevel returns the limit of the bucket's level. Requests that may be returned keep their room in the bucket, else a
// burst could be admitted from the bucket and again from unused leases.
func (a *Allocator) maxLevel(limit Limit) float64 {
	return limit.Burst - float64(a.returnable)
}

// AdmitProgram admits the first request of a program if the rate covers all requests that the program is expected to
// need, and otherwise returns when to ask again: a program that is refused midway wastes the requests it has used.
func (a *Allocator) AdmitProgram(now time.Time, limit Limit) (ok bool, retryAfter time.Duration) {
	a.refill(now, limit)
	neededRequests := min(a.estimateRequestsPerProgram(now), a.maxProgramLevel(limit))
	if limit.Rate <= 0 {
		return false, zeroRateRetryDelay
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
	a.endOldGrants(now)
	if a.filledAt.IsZero() {
		a.filledAt = now
		a.level = min(limit.Burst, limit.changeExcess(a.SlackRequests))
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
	a.level = min(a.maxLevel(limit), a.level)
	a.programLevel = min(a.maxProgramLevel(limit), a.programLevel)
}
