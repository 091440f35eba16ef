package streamorigin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SelectKeepers returns up to count of the members, by rendezvous hashing of the attempt: hosts with similar lists of
// members select mostly the same ones.
func SelectKeepers(attempt Attempt, members []string, count int) []string {
	type candidate struct {
		member string
		weight uint64
	}
	candidates := make([]candidate, 0, len(members))
	for _, member := range members {
		candidates = append(candidates, candidate{member, xxhash.Sum64String(string(attempt) + " " + member)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	keepers := make([]string, 0, min(count, len(candidates)))
	for _, c := range candidates[:min(count, len(candidates))] {
		keepers = append(keepers, c.member)
	}

	return keepers
}
