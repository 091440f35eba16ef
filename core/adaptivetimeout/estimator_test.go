package adaptivetimeout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/adaptivetimeout"
)

func TestTimeoutFollowsLatency(t *testing.T) {
	var p adaptivetimeout.Estimator
	require.Equal(t, 120*time.Millisecond, p.Timeout())
	for range 40 {
		p.RecordResponse(6 * time.Millisecond)
	}
	require.Equal(t, 120*time.Millisecond, p.Timeout(), "lost answers of a quick store are asked for again soon")
	for range 40 {
		p.RecordResponse(240 * time.Millisecond)
	}
	require.Greater(t, p.Timeout(), time.Second, "a slow store is waited for")
	require.LessOrEqual(t, p.Timeout(), 1500*time.Millisecond)
}

func TestTimeoutBacksOffAndResetsOnResponse(t *testing.T) {
	var p adaptivetimeout.Estimator
	p.RecordResponse(5 * time.Millisecond)
	for range 10 {
		p.RecordTimeout()
	}
	require.Equal(t, 800*time.Millisecond, p.Timeout())
	p.RecordResponse(5 * time.Millisecond)
	require.Equal(t, 120*time.Millisecond, p.Timeout())
}
