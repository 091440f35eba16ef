package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/retry"
)

func TestBudgetIsAPartOfTheSuccesses(t *testing.T) {
	var b retry.Budget
	taken := 0
	for range 1000 {
		b.Succeeded()
		if _, ok := b.Take(0, 0); ok {
			taken++
		}
	}
	require.InDelta(t, 110, taken, 2, "a tenth of the successes and the reserve")
}

func TestBudgetIsBounded(t *testing.T) {
	var b retry.Budget
	for range 100_000 {
		b.Succeeded()
	}
	require.Equal(t, 100, b.Left())
}

func TestNoRetryPastTheDeadline(t *testing.T) {
	var b retry.Budget
	_, ok := b.Take(9, time.Nanosecond)
	require.False(t, ok)
	require.Equal(t, 10, b.Left(), "a retry that is not made costs nothing")
}

func TestJitterStaysBelowItsBound(t *testing.T) {
	for attempt := range 50 {
		bound := min(2*time.Second, 50*time.Millisecond<<min(attempt, 10))
		for range 100 {
			require.Less(t, retry.Jitter(attempt), bound)
		}
	}
}
