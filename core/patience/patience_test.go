package patience_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/patience"
)

func TestWaitFollowsAnswers(t *testing.T) {
	var p patience.Patience
	require.Equal(t, 120*time.Millisecond, p.Wait())
	for range 40 {
		p.Answered(6 * time.Millisecond)
	}
	require.Equal(t, 120*time.Millisecond, p.Wait(), "lost answers of a quick store are asked for again soon")
	for range 40 {
		p.Answered(240 * time.Millisecond)
	}
	require.Greater(t, p.Wait(), time.Second, "a slow store is waited for")
	require.LessOrEqual(t, p.Wait(), 1500*time.Millisecond)
}

func TestWaitGrowsWithoutAnswersAndShrinksWithOne(t *testing.T) {
	var p patience.Patience
	p.Answered(5 * time.Millisecond)
	for range 10 {
		p.Unanswered()
	}
	require.Equal(t, 800*time.Millisecond, p.Wait())
	p.Answered(5 * time.Millisecond)
	require.Equal(t, 120*time.Millisecond, p.Wait())
}
