package traffic_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/traffic"
)

func TestCrossingOfUnknownDomainIsNotCountedAsCrossing(t *testing.T) {
	for _, tt := range []struct {
		a, b id.FailureDomain
		want traffic.Crossing
	}{
		{"x", "x", traffic.Within}, {"x", "y", traffic.Across}, {"", "x", traffic.Unknown}, {"x", "", traffic.Unknown}, {"", "", traffic.Unknown},
	} {
		require.Equal(t, tt.want, traffic.CrossingBetween(tt.a, tt.b), tt)
	}
}

func TestTextNamesCauseAndCrossingOfEachDirection(t *testing.T) {
	var counters traffic.Counters
	counters.Get(traffic.Upstream, traffic.Across).AddSent(7)
	counters.Get(traffic.Upstream, traffic.Across).AddReceived(9)
	counters.Get(traffic.Caller, traffic.Unknown).AddSent(3)
	counters.Get(traffic.Copies, traffic.Within).AddReceived(-1)
	var text strings.Builder
	require.NoError(t, counters.WriteText(&text))
	require.Equal(t, "bytes-sent{\"caller-unknown\"} 3\nbytes-sent{\"upstream-across\"} 7\nbytes-received{\"upstream-across\"} 9\n", text.String())
}

func TestMissingCountersCountNothing(*testing.T) {
	var counters *traffic.Counters
	counters.Get(traffic.Owner, traffic.Within).AddSent(1)
}
