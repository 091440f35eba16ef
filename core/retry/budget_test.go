package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/retry"
)

func TestRetriesAreAFractionOfSuccesses(t *testing.T) {
	var b retry.Budget
	taken := 0
	for range 1000 {
		if b.Take() {
			taken++
		}
	}
	require.Equal(t, 10, taken, "without successes only the reserve is there")
	for range 100 {
		b.Succeeded()
	}
	taken = 0
	for b.Take() {
		taken++
	}
	require.InDelta(t, 10, taken, 1)
}
