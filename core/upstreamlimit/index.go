package upstreamlimit

import (
	"maps"
	"slices"
	"time"

	"cardamomward/core/id"
)

const (
	// minRate is the rate at which an upstream with a lower limit gets requests, in requests per second: only its responses
	// show that the limit has ended.
	minRate = 0.25
	// gossipDuration is the period in which a host reports its own statements of an upstream.
	gossipDuration = 1500 * time.Millisecond
	// unlistedRetention is how long the statement of an upstream is kept that is not registered: registrations can be lost while
	// the upstream serves.
	unlistedRetention = 30 * time.Second
	// maxGossiped bounds the statements of one heartbeat.
	maxGossiped = 64
)

// Statement is a limit that an upstream has named in a response.
type Statement struct {
	Upstream id.Upstream
	// Incarnation identifies the process that made the statement.
	Incarnation int64
	// IsLimited is set if the response names a limit, and Rate is that limit in requests per second.
	IsLimited bool
	Rate      float64
	// ReceivedAt is the arrival time of the response at a host.
	ReceivedAt time.Time
}

// Index holds the newest statement of each upstream that has named a limit; its zero value is empty.
type Index struct {
	statements map[id.Upstream]Statement
	// ownUntil is until when a statement that this host has received itself is reported to other hosts.
	ownUntil map[id.Upstream]time.Time
}

// RecordOwn records a statement in a response to this host and reports whether the limit has changed.
func (x *Index) RecordOwn(statement Statement) bool {
	if _, known := x.statements[statement.Upstream]; !known && !statement.IsLimited {
		return false
	}
	changed, accepted := x.record(statement)
	if accepted {
		x.ownUntil[statement.Upstream] = statement.ReceivedAt.Add(gossipDuration)
	}

	return changed
}

// RecordReported records a statement that another host has received and reports whether the limit has changed.
func (x *Index) RecordReported(statement Statement) bool {
	changed, accepted := x.record(statement)
	if accepted {
		delete(x.ownUntil, statement.Upstream)
	}

	return changed
}

// record replaces an older statement. Those of an earlier process do not replace any.
func (x *Index) record(statement Statement) (changed, accepted bool) {
	if x.statements == nil {
		x.statements, x.ownUntil = make(map[id.Upstream]Statement), make(map[id.Upstream]time.Time)
	}
	previous, known := x.statements[statement.Upstream]
	if known && (statement.Incarnation < previous.Incarnation ||
		statement.Incarnation == previous.Incarnation && !statement.ReceivedAt.After(previous.ReceivedAt)) {
		return false, false
	}
	x.statements[statement.Upstream] = statement

	return statement.IsLimited != previous.IsLimited || statement.Rate != previous.Rate || statement.Incarnation != previous.Incarnation, true
}

// Limit returns the statement by which an upstream's process is limited, and false if it is not. The rate of the result is at
// least a quarter of a request per second.
func (x *Index) Limit(upstream id.Upstream, incarnation int64) (Statement, bool) {
	statement, ok := x.statements[upstream]
	if !ok || !statement.IsLimited || statement.Incarnation != incarnation {
		return Statement{}, false
	}
	statement.Rate = max(minRate, statement.Rate)

	return statement, true
}

// AdmissionDelay estimates the time until an upstream's limit admits a request, by the time since any host received a response
// of the upstream; it is zero if the upstream is not limited.
func (x *Index) AdmissionDelay(now time.Time, upstream id.Upstream, incarnation int64) time.Duration {
	statement, limited := x.Limit(upstream, incarnation)
	if !limited {
		return 0
	}
	interval := time.Duration(float64(time.Second) / statement.Rate)

	return max(0, interval-now.Sub(statement.ReceivedAt))
}

// ToGossip returns the statements to report to other hosts.
func (x *Index) ToGossip(now time.Time) []Statement {
	var statements []Statement
	for upstream, until := range x.ownUntil {
		if now.After(until) {
			delete(x.ownUntil, upstream)
		} else if len(statements) < maxGossiped {
			statements = append(statements, x.statements[upstream])
		}
	}

	return statements
}

// Upstreams returns the upstreams with a statement, in no particular order.
func (x *Index) Upstreams() []id.Upstream { return slices.Collect(maps.Keys(x.statements)) }

// RemoveUnlisted removes the statements, older than 30 s, of upstreams that are not registered any more.
func (x *Index) RemoveUnlisted(now time.Time, isListed func(id.Upstream) bool) {
	for upstream, statement := range x.statements {
		if !isListed(upstream) && now.Sub(statement.ReceivedAt) > unlistedRetention {
			delete(x.statements, upstream)
			delete(x.ownUntil, upstream)
		}
	}
}
