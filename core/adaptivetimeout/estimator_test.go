package adaptivetimeout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/adaptivetimeout"
)

func TestTimeoutFollowsLatency(t *testing.T) {
	var e adaptivetimeout.Estimator
	require.Equal(t, 120*time.Millisecond, e.Timeout())
	for range 40 {
		e.RecordResponse(6 * time.Millisecond)
	}
	require.Equal(t, 120*time.Millisecond, e.Timeout(), "calls to a fast store are retried soon")
	for range 40 {
		e.RecordResponse(240 * time.Millisecond)
	}
	require.Greater(t, e.Timeout(), time.Second, "a slow store gets a longer timeout")
	require.LessOrEqual(t, e.Timeout(), 1500*time.Millisecond)
}

func TestTimeoutBacksOffAndResetsOnResponse(t *testing.T) {
	var e adaptivetimeout.Estimator
	e.RecordResponse(5 * time.Millisecond)
	for range 10 {
		e.RecordTimeout()
	}
	require.Equal(t, 800*time.Millisecond, e.Timeout())
	e.RecordResponse(5 * time.Millisecond)
	require.Equal(t, 120*time.Millisecond, e.Timeout())
}
