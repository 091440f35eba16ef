package retrybudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/retrybudget"
)

func TestBudgetIsFractionOfSuccesses(t *testing.T) {
	var b retrybudget.Budget
	taken := 0
	for range 1000 {
		b.RecordSuccess()
		if _, ok := b.TryAcquire(0, 0); ok {
			taken++
		}
	}
	require.InDelta(t, 110, taken, 2, "a tenth of the successes plus the initial retries")
}

func TestBudgetIsBounded(t *testing.T) {
	var b retrybudget.Budget
	for range 100_000 {
		b.RecordSuccess()
	}
	require.Equal(t, 100, b.Available())
}

func TestNoRetryPastDeadline(t *testing.T) {
	var b retrybudget.Budget
	_, ok := b.TryAcquire(9, time.Nanosecond)
	require.False(t, ok)
	require.Equal(t, 10, b.Available(), "a retry that is not made does not use the budget")
}

func TestJitteredBackoffStaysBelowBound(t *testing.T) {
	for attempt := range 50 {
		bound := min(2*time.Second, 50*time.Millisecond<<min(attempt, 10))
		for range 100 {
			require.Less(t, retrybudget.JitteredBackoff(attempt), bound)
		}
	}
}
