package stall

import "time"

// Timeouts bound the pauses of a stream.
type Timeouts struct {
	// Idle is the longest time without any byte.
	Idle time.Duration
	// FirstToken is the longest time from the start to the first token; keepalives do not extend it.
	FirstToken time.Duration
	// BetweenTokens is the longest time between two tokens; keepalives do not extend it.
	BetweenTokens time.Duration
}

// Status is the state of a stream; it is empty while the stream is healthy.
type Status string

// Statuses of a stream.
const (
	// Healthy means that no timeout has expired.
	Healthy Status = ""
	// Silent means that no byte has arrived in time: the connection may be lost while the upstream is healthy.
	Silent Status = "silent"
	// Stalled means that keepalives arrived but no token.
	Stalled Status = "stalled"
)

// Detector monitors one stream.
type Detector struct {
	timeouts    Timeouts
	lastByteAt  time.Time
	lastTokenAt time.Time
	hasToken    bool
}

// New returns a detector for a stream that starts now; hasToken is set if tokens arrived on an earlier connection.
func New(timeouts Timeouts, now time.Time, hasToken bool) *Detector {
	return &Detector{timeouts: timeouts, lastByteAt: now, lastTokenAt: now, hasToken: hasToken}
}

// RecordKeepalive records that bytes without a token arrived.
func (d *Detector) RecordKeepalive(now time.Time) { d.lastByteAt = now }

// RecordToken records that a token arrived.
func (d *Detector) RecordToken(now time.Time) {
	d.lastByteAt, d.lastTokenAt, d.hasToken = now, now, true
}

// Check returns the status and, while the stream is healthy, the time until the next check.
func (d *Detector) Check(now time.Time) (Status, time.Duration) {
	tokenTimeout := d.timeouts.FirstToken
	if d.hasToken {
		tokenTimeout = d.timeouts.BetweenTokens
	}
	untilSilent := d.lastByteAt.Add(d.timeouts.Idle).Sub(now)
	untilStalled := d.lastTokenAt.Add(tokenTimeout).Sub(now)
	switch {
	case untilSilent <= 0:
		return Silent, 0
	case untilStalled <= 0:
		return Stalled, 0
	default:
		return Healthy, min(untilSilent, untilStalled)
	}
}

const (
	// queueMultiplier is the number of idle timeouts that a call may wait for its first token in addition to its prefill.
	queueMultiplier = 8
	// prefillMultiplier allows for an engine that computes prompts more slowly than it reports.
	prefillMultiplier = 4
	// betweenTokensMultiplier is the number of idle timeouts between two tokens of an engine that sends keepalives.
	betweenTokensMultiplier = 3
)

// TimeoutsFor returns the timeouts of a call, where prefill is the expected time to process its prompt. An engine that
// sends keepalives does so while a call waits in its queue, so the idle timeout detects a lost connection from the start.
func TimeoutsFor(idle, prefill time.Duration, sendsKeepalives bool) Timeouts {
	timeouts := Timeouts{
		Idle:          idle,
		FirstToken:    queueMultiplier*idle + prefillMultiplier*prefill,
		BetweenTokens: betweenTokensMultiplier * idle,
	}
	if !sendsKeepalives {
		timeouts.Idle = timeouts.FirstToken
		timeouts.BetweenTokens = idle
	}

	return timeouts
}
