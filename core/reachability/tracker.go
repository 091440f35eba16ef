package reachability

import "time"

const (
	// partitionThreshold is the number of upstreams whose direct paths must fail for a host to count as partitioned.
	partitionThreshold = 2
	// probeInterval is the time between probes of the direct path to an upstream that is avoided.
	probeInterval = 250 * time.Millisecond
	// recentFailureAge is the age limit of a failure that is not tested again.
	recentFailureAge = 200 * time.Millisecond
	// failureTTL is the lifetime of a failure that no later attempt has confirmed.
	failureTTL = 10 * time.Second
)

// Address is the IP address and port of an upstream.
type Address string

// Result is the outcome of an attempt to connect.
type Result int

// Results of an attempt to connect.
const (
	// Connected means that the connection was established.
	Connected Result = iota
	// Refused means that the attempt failed with an error, such as a refused connection. Open connections may still work.
	Refused
	// TimedOut means that the attempt had no response. Open connections are assumed to hang too.
	TimedOut
)

// String returns the result's name in logs.
func (r Result) String() string { return [...]string{"connected", "refused", "timed-out"}[r] }

// upstream is the state of the paths to one upstream.
type upstream struct {
	// failure is the latest result on the direct path, and failedAt its time; failedAt is zero if there was no attempt.
	failure  Result
	failedAt time.Time
	// isRelayed is set if another host has connected to the upstream since the direct path failed.
	isRelayed bool
	// unreachableAt is the time of the latest attempt that failed on all paths.
	unreachableAt time.Time
	probedAt      time.Time
}

// Tracker tracks which direct paths fail; its zero value tracks none.
type Tracker struct {
	upstreams map[Address]*upstream
	// lastConnectedAt is the time of the latest direct connection to any upstream. Responses do not count: open connections may
	// live on while new ones are refused.
	lastConnectedAt time.Time
}

// RecordDirect records the result of an attempt to connect to an upstream directly.
func (t *Tracker) RecordDirect(now time.Time, address Address, result Result) {
	if result == Connected {
		t.lastConnectedAt = now
		delete(t.upstreams, address)

		return
	}
	state := t.getOrCreate(address)
	state.failure, state.failedAt = result, now
}

func (t *Tracker) getOrCreate(address Address) *upstream {
	state, ok := t.upstreams[address]
	if !ok {
		state = &upstream{}
		if t.upstreams == nil {
			t.upstreams = make(map[Address]*upstream)
		}
		t.upstreams[address] = state
	}

	return state
}

// RecordRelayed records that another host has connected to an upstream.
func (t *Tracker) RecordRelayed(address Address) {
	if state, ok := t.upstreams[address]; ok {
		state.isRelayed = true
	}
}

// IsPartitioned reports whether this host's direct paths to several upstreams fail and none has worked since. Several upstreams may
// also be down, so that this alone is no reason to give up an open connection.
func (t *Tracker) IsPartitioned(now time.Time) bool {
	failing := 0
	for _, state := range t.upstreams {
		if now.Sub(state.failedAt) < failureTTL && state.failedAt.After(t.lastConnectedAt) {
			failing++
		}
	}

	return failing >= partitionThreshold
}

// AvoidsDirectPath reports whether connections to an upstream are to be relayed: its direct path failed while another host
// connected, or this host is partitioned from all upstreams.
func (t *Tracker) AvoidsDirectPath(now time.Time, address Address) bool {
	if state, ok := t.upstreams[address]; ok && state.isRelayed && now.Sub(state.failedAt) < failureTTL {
		return true
	}

	return t.IsPartitioned(now)
}

// HangsDirectly reports whether open direct connections to an upstream are assumed to hang: an attempt to connect had no response
// while another host connected, or while this host is partitioned.
func (t *Tracker) HangsDirectly(now time.Time, address Address) bool {
	state, ok := t.upstreams[address]

	return ok && !state.failedAt.IsZero() && state.failure == TimedOut && t.AvoidsDirectPath(now, address)
}

// MayHangDirectly reports whether idle direct connections to an upstream are not to be used: they are assumed to hang, or this
// host is partitioned and has not tried this upstream.
func (t *Tracker) MayHangDirectly(now time.Time, address Address) bool {
	if state, ok := t.upstreams[address]; ok && !state.failedAt.IsZero() {
		return t.HangsDirectly(now, address)
	}
	if !t.IsPartitioned(now) {
		return false
	}
	for _, state := range t.upstreams {
		if state.failure == TimedOut && !state.failedAt.IsZero() {
			return true
		}
	}

	return false
}

// RecordUnreachable records that an attempt to connect to an upstream has failed on all paths.
func (t *Tracker) RecordUnreachable(now time.Time, address Address) {
	if state, ok := t.upstreams[address]; ok {
		state.unreachableAt = now
	}
}

// RecentFailure returns how the direct path to an upstream has failed if all paths have just failed, else false.
func (t *Tracker) RecentFailure(now time.Time, address Address) (Result, bool) {
	state, ok := t.upstreams[address]
	if !ok || now.Sub(state.unreachableAt) >= recentFailureAge {
		return Connected, false
	}

	return state.failure, true
}

// TryProbe reports whether the direct path to an upstream should be probed now; if so, it starts the next probe interval.
func (t *Tracker) TryProbe(now time.Time, address Address) bool {
	state := t.getOrCreate(address)
	if now.Sub(state.probedAt) < probeInterval {
		return false
	}
	state.probedAt = now

	return true
}

// RemoveExpired removes failures that no later attempt has confirmed.
func (t *Tracker) RemoveExpired(now time.Time) {
	for address, state := range t.upstreams {
		if now.Sub(state.failedAt) >= failureTTL && now.Sub(state.probedAt) >= failureTTL {
			delete(t.upstreams, address)
		}
	}
}
