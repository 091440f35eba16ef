package assign

import (
	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
	"cardamomward/core/registry"
)

// Work is what a request asks of an upstream.
type Work struct {
	// Line names the requests that belong together; it decides between equal upstreams.
	Line string
	// Generates is set for model calls; the fields below are for them.
	Generates bool
	// Shared is the part of the prompt that other lines have in common, Own the rest.
	Shared id.Tokens
	Own    id.Tokens
	// Last is the upstream where the line last ran, and Kept the tokens of its own part that lie there.
	Last id.Upstream
	Kept id.Tokens
	// Output is how many tokens the request is expected to generate.
	Output id.Tokens
}

// Condition is what the host knows of an upstream.
type Condition struct {
	// Running counts the requests that run or wait there, from all hosts.
	Running int
	// Pace is the time for a token, or for a request to a plain service, in milliseconds when nothing else runs.
	Pace float64
	// Failing counts the failures that stand against it.
	Failing float64
	// KeepsShared is set where it is taken to keep the request's shared part.
	KeepsShared bool
}

const (
	// Crowding is how much each request beside slows an engine's tokens, as a part of the pace.
	Crowding = 0.025
	// readPerToken is the time to read a token of a prompt, as a part of the time to generate one.
	readPerToken = 1.0 / 300
	// disturbance is how much of a request's reading each request beside waits for.
	disturbance = 0.7
	// failureCost is what a failure that stands against an upstream counts, in milliseconds.
	failureCost = 150.0
)

// Choose returns the upstream with the least cost among those that are not excluded, or nil where there is none.
//
// The cost is the time that the request takes there and that it costs those beside it, in milliseconds: reading what the
// upstream does not keep, generating among those that run, and waiting for a place.
func Choose(candidates []*registry.Instance, work Work, condition func(*registry.Instance) Condition, excluded map[id.Upstream]struct{}) *registry.Instance {
	var best *registry.Instance
	var bestCost float64
	for _, candidate := range candidates {
		if _, skip := excluded[candidate.ID]; skip {
			continue
		}
		cost := Cost(candidate, work, condition(candidate))
		if best == nil || cost < bestCost || (cost == bestCost && weight(candidate.ID, work.Line) > weight(best.ID, work.Line)) {
			best, bestCost = candidate, cost
		}
	}

	return best
}

// Cost returns the cost of a request at an upstream, in milliseconds.
func Cost(candidate *registry.Instance, work Work, c Condition) float64 {
	places := float64(max(1, candidate.Concurrency))
	running := float64(c.Running)
	cost := failureCost * c.Failing
	if !work.Generates {
		return cost + c.Pace*(1+running/places) + waiting(running, places, c.Pace)
	}
	beside := min(running, places)
	reading := float64(work.missing(candidate.ID, c.KeepsShared)) * readPerToken * c.Pace
	generating := float64(work.Output) * c.Pace
	cost += reading * (1 + disturbance*beside)
	cost += generating * (1 + 2*Crowding*beside)

	return cost + waiting(running, places, generating)
}

// waiting is how long until a place is free.
func waiting(running, places, service float64) float64 {
	return max(0, running-places+1) / places * service * 2
}

// missing returns the tokens that an upstream must read.
func (w Work) missing(upstream id.Upstream, keepsShared bool) id.Tokens {
	missing := w.Own
	if upstream == w.Last {
		missing = max(0, w.Own-w.Kept)
	}
	if !keepsShared && upstream != w.Last {
		missing += w.Shared
	}

	return missing
}

func weight(upstream id.Upstream, line string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(string(upstream)) //nolint:errcheck // a hash never fails
	digest.WriteString("\x00")           //nolint:errcheck // a hash never fails
	digest.WriteString(line)             //nolint:errcheck // a hash never fails

	return digest.Sum64()
}
