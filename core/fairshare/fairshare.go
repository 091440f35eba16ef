package fairshare

import (
	"cmp"
	"math"
	"slices"

	"cardamomward/core/id"
)

// Load is the usage of one workspace, in units of the shared capacity.
type Load struct {
	Workspace id.Workspace
	// Used has the unit of the capacity, such as occupied slots.
	Used float64
	// Weight is the workspace's weight; zero means 1.
	Weight float64
}

func (l Load) weight() float64 {
	if l.Weight <= 0 {
		return 1
	}

	return l.Weight
}

// Level returns the share of a capacity for a weight of 1: a workspace that uses less than the level times its weight keeps what
// it uses, and the others get what these leave, in proportion to their weights. It is infinite if all loads fit.
func Level(capacity float64, loads []Load) float64 {
	sorted := slices.Clone(loads)
	slices.SortFunc(sorted, func(a, b Load) int { return cmp.Compare(a.Used/a.weight(), b.Used/b.weight()) })
	weights := 0.0
	for _, load := range sorted {
		weights += load.weight()
	}
	left := max(0, capacity)
	for _, load := range sorted {
		level := left / weights
		if load.Used > level*load.weight() {
			return level
		}
		left -= load.Used
		weights -= load.weight()
	}

	return math.Inf(1)
}
