package fairshare_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/fairshare"
)

func TestWorkspaceBelowItsShareLeavesTheRestToOthers(t *testing.T) {
	loads := []fairshare.Load{{Workspace: "hot", Used: 75}, {Workspace: "a", Used: 10}, {Workspace: "b", Used: 20}}
	require.InDelta(t, 70, fairshare.Level(100, loads), 1e-9)
	require.InDelta(t, 15, fairshare.Level(40, loads), 1e-9, "two workspaces exceed the level")
	require.True(t, math.IsInf(fairshare.Level(105, loads), 1), "all loads fit")
	require.True(t, math.IsInf(fairshare.Level(0, nil), 1), "there is no load")
}

func TestLevelIsInProportionToWeights(t *testing.T) {
	loads := []fairshare.Load{{Workspace: "heavy", Used: 90, Weight: 3}, {Workspace: "light", Used: 90}}
	require.InDelta(t, 25, fairshare.Level(100, loads), 1e-9)
}

// The shares of all workspaces together fill the capacity, whatever the loads, so that none of it is left idle or given twice.
func TestSharesFillCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := make([]fairshare.Load, rapid.IntRange(1, 20).Draw(t, "workspaces"))
		total := 0.0
		for i := range loads {
			loads[i].Used = rapid.Float64Range(0, 100).Draw(t, "used")
			loads[i].Weight = rapid.Float64Range(0.01, 1000).Draw(t, "weight")
			total += loads[i].Used
		}
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		level := fairshare.Level(capacity, loads)
		sum := 0.0
		for _, load := range loads {
			sum += min(load.Used, level*load.Weight)
		}
		require.InDelta(t, min(capacity, total), sum, 1e-6)
	})
}
