package relayselection_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/relayselection"
)

func TestRelayedConnectionsFollowProcessorTime(t *testing.T) {
	candidates := []relayselection.Candidate{{Address: "small", CPUCores: 0.2}, {Address: "large", CPUCores: 0.8}, {Address: "near", CPUCores: 0.5, IsNear: true}}
	counts := make(map[string]int)
	for i := range 2000 {
		address, ok := relayselection.Choose(candidates, float64(i)/2000)
		require.True(t, ok)
		counts[address]++
	}
	require.InDelta(t, 200, counts["small"], 2)
	require.InDelta(t, 800, counts["large"], 2)
	require.InDelta(t, 1000, counts["near"], 2)
}

func TestNoRelayIsChosenFromNoCandidates(t *testing.T) {
	_, ok := relayselection.Choose(nil, 0.5)
	require.False(t, ok)
	address, ok := relayselection.Choose([]relayselection.Candidate{{Address: "without-processor-time"}}, 0.5)
	require.True(t, ok)
	require.Equal(t, "without-processor-time", address)
}
