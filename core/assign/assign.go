package assign

import (
	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
	"cardamomward/core/registry"
)

// Running tells how many requests run or wait at an upstream, as far as the host knows.
type Running func(upstream id.Upstream) int

// Choose returns the upstream with the least cost among those that are not excluded, or nil where there is none.
//
// A line of turns prefers one upstream, where its prompt is cached, by rendezvous hashing, so that all hosts prefer the
// same one without telling each other. It leaves that upstream when waiting there costs more than reading again elsewhere.
func Choose(candidates []*registry.Instance, line string, running Running, excluded map[id.Upstream]struct{}) *registry.Instance {
	var best *registry.Instance
	var bestCost float64
	home := rendezvous(candidates, line)
	for _, candidate := range candidates {
		if _, skip := excluded[candidate.ID]; skip {
			continue
		}
		c := cost(candidate, running(candidate.ID), candidate == home)
		if best == nil || c < bestCost || (c == bestCost && weight(candidate.ID, line) > weight(best.ID, line)) {
			best, bestCost = candidate, c
		}
	}

	return best
}

const (
	// awayCost is what reading a line's prompt again costs, as a share of an upstream's places.
	awayCost = 0.25
	// queueCost multiplies the load beyond the places of an upstream.
	queueCost = 4.0
)

// cost is the load of an upstream as a share of its places; what waits there counts more than what runs.
func cost(candidate *registry.Instance, running int, home bool) float64 {
	places := float64(max(1, candidate.Slots))
	load := float64(running) / places
	if load > 1 {
		load = 1 + (load-1)*queueCost
	}
	if !home {
		load += awayCost
	}

	return load
}

func rendezvous(candidates []*registry.Instance, line string) *registry.Instance {
	var best *registry.Instance
	var bestWeight uint64
	for _, candidate := range candidates {
		if w := weight(candidate.ID, line); best == nil || w > bestWeight {
			best, bestWeight = candidate, w
		}
	}

	return best
}

func weight(upstream id.Upstream, line string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(string(upstream)) //nolint:errcheck // a hash never fails
	digest.WriteString("\x00")           //nolint:errcheck // a hash never fails
	digest.WriteString(line)             //nolint:errcheck // a hash never fails

	return digest.Sum64()
}
