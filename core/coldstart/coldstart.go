package coldstart

import (
	"maps"
	"slices"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/registry"
)

const (
	// maxRemaining bounds how long a single statement makes an upstream cold, so that a wrong value does not slow it down for good.
	maxRemaining = time.Minute
	// gossipDuration is the period in which a host reports what it has learned itself. Hosts that read the store know it anyway.
	gossipDuration = time.Second
	// maxGossiped bounds the upstreams of one heartbeat, which must not exceed 8 KB together with the limits of upstreams.
	maxGossiped = 32
	// unlistedRetention is how long an upstream that is not registered is remembered after it was cold: registrations can be lost
	// while it serves.
	unlistedRetention = 30 * time.Second
)

// Policy describes the cold starts of a service; the zero value means that its upstreams are never cold.
type Policy struct {
	// Duration is the time for which an upstream is cold after its start.
	Duration time.Duration
	// RequestsPerSecond is the rate that a cold upstream takes from all hosts together; zero means that upstreams are never cold.
	RequestsPerSecond float64
}

// IsEnabled reports whether upstreams of the service can be cold.
func (p Policy) IsEnabled() bool { return p.RequestsPerSecond > 0 }

// Source is from what a host has learned that an upstream is cold.
type Source string

// Sources of statements.
const (
	// FromStart is the time of the start that a registration names.
	FromStart Source = "start"
	// FromRegistration is the remaining time that a registration names.
	FromRegistration Source = "registration"
	// FromResponse is the remaining time that a response of the upstream names.
	FromResponse Source = "response"
	// FromFailure is a response that broke off: the process may have been replaced.
	FromFailure Source = "failure"
	// FromEvacuation is the end of the evacuation of the upstream's failure domain.
	FromEvacuation Source = "evacuation"
	// FromPeer is another host.
	FromPeer Source = "peer"
)

// Statement says that an upstream is cold.
type Statement struct {
	Upstream    id.Upstream
	Incarnation int64
	// Until is its end.
	Until time.Time
	// Rate is the number of requests per second that the upstream takes from all hosts meanwhile.
	Rate   float64
	Source Source
}

// entry is the state of an upstream's process.
type entry struct {
	Statement

	// readAt is the time of the first read of the process's registration; zero if it has not been read.
	readAt      time.Time
	gossipUntil time.Time
}

// Index keeps the newest statements by upstream; its zero value is empty.
type Index struct {
	entries map[id.Upstream]*entry
}

// RecordRegistration records that an upstream's registration was read, with the remaining time that it names. It returns the
// statement in force and whether the upstream was not cold before.
func (x *Index) RecordRegistration(now time.Time, instance *registry.Instance, remaining time.Duration, policy Policy) (Statement, bool) {
	e := x.entryOf(instance.ID, instance.Incarnation)
	if e == nil {
		return Statement{}, false
	}
	if e.readAt.IsZero() {
		e.readAt = now
	}
	if !policy.IsEnabled() {
		return Statement{}, false
	}
	statement := Statement{
		Upstream: instance.ID, Incarnation: instance.Incarnation, Rate: policy.RequestsPerSecond,
		Until: now.Add(min(remaining, maxRemaining)), Source: FromRegistration,
	}
	if until := e.startUntil(policy); until.After(statement.Until) {
		statement.Until, statement.Source = until, FromStart
	}

	return statement, x.RecordOwn(now, statement)
}

// startUntil returns the end of the cold start by the time of the start. The start counts as not later than the read of the
// registration, since clocks differ.
func (e *entry) startUntil(policy Policy) time.Time {
	startedAt := time.UnixMilli(e.Incarnation)
	if startedAt.After(e.readAt) {
		startedAt = e.readAt
	}

	return startedAt.Add(policy.Duration)
}

// RecordOwn records what this host has learned itself, and reports whether the upstream was not cold before.
func (x *Index) RecordOwn(now time.Time, statement Statement) bool {
	began, prolonged := x.record(now, statement)
	if prolonged && statement.Source != FromEvacuation {
		x.entries[statement.Upstream].gossipUntil = now.Add(gossipDuration)
	}

	return began
}

// RecordReported records what another host reports, and reports whether the upstream was not cold before. It is not reported
// further: the delays of messages would add up.
func (x *Index) RecordReported(now time.Time, statement Statement) bool {
	statement.Source = FromPeer
	began, _ := x.record(now, statement)

	return began
}

// record applies a statement that ends later than the one in force, or concerns a later process.
func (x *Index) record(now time.Time, statement Statement) (began, prolonged bool) {
	statement.Until = earlierOf(statement.Until, now.Add(maxRemaining))
	if statement.Rate <= 0 || !statement.Until.After(now) {
		return false, false
	}
	e := x.entryOf(statement.Upstream, statement.Incarnation)
	if e == nil || !statement.Until.After(e.Until) {
		return false, false
	}
	began = !e.Until.After(now)
	e.Statement = statement

	return began, true
}

// entryOf returns the entry of an upstream's process, or nil if a later process is known. The entry of an earlier one is replaced.
func (x *Index) entryOf(upstream id.Upstream, incarnation int64) *entry {
	e, ok := x.entries[upstream]
	switch {
	case ok && incarnation < e.Incarnation:
		return nil
	case ok && incarnation == e.Incarnation:
		return e
	}
	if x.entries == nil {
		x.entries = make(map[id.Upstream]*entry)
	}
	e = &entry{Statement: Statement{Upstream: upstream, Incarnation: incarnation}}
	x.entries[upstream] = e

	return e
}

// State returns the statement by which an upstream is cold now, and false if it is not. A later process than the registered one
// counts, since it serves at the same address.
func (x *Index) State(now time.Time, instance *registry.Instance, policy Policy) (Statement, bool) {
	if !policy.IsEnabled() {
		return Statement{}, false
	}
	e, ok := x.entries[instance.ID]
	if !ok || e.Incarnation < instance.Incarnation {
		return Statement{}, false
	}
	statement := e.Statement
	if !e.readAt.IsZero() {
		// The configuration may have been read later than the registration.
		if until := e.startUntil(policy); until.After(statement.Until) {
			statement.Until, statement.Source = until, FromStart
		}
	}
	statement.Rate = policy.RequestsPerSecond

	return statement, statement.Until.After(now)
}

// Reported returns the statement in force for an upstream by its id alone, and false if there is none: for the owner of an
// upstream's slot, which gets the policy with each request.
func (x *Index) Reported(now time.Time, upstream id.Upstream) (Statement, bool) {
	e, ok := x.entries[upstream]
	if !ok || !e.Until.After(now) {
		return Statement{}, false
	}

	return e.Statement, true
}

// ToGossip returns the statements to report to other hosts.
func (x *Index) ToGossip(now time.Time) []Statement {
	var statements []Statement
	for _, e := range x.entries {
		if len(statements) < maxGossiped && e.gossipUntil.After(now) && e.Until.After(now) {
			statements = append(statements, e.Statement)
		}
	}

	return statements
}

// Upstreams returns the upstreams of which something is known, in no particular order.
func (x *Index) Upstreams() []id.Upstream { return slices.Collect(maps.Keys(x.entries)) }

// RemoveUnlisted removes upstreams that are not registered and have not been cold for 30 s.
func (x *Index) RemoveUnlisted(now time.Time, isListed func(id.Upstream) bool) {
	for upstream, e := range x.entries {
		if now.Sub(e.Until) > unlistedRetention && !isListed(upstream) {
			delete(x.entries, upstream)
		}
	}
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}

	return a
}
