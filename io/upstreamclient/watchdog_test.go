package upstreamclient

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStoppedWatchdogDoesNotExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w watchdog
		var gaveUp atomic.Bool
		w.start(100*time.Millisecond, func() bool {
			time.Sleep(300 * time.Millisecond)

			return false
		}, func() { gaveUp.Store(true) })
		time.Sleep(200 * time.Millisecond) // The probe runs.
		w.stop()
		time.Sleep(time.Second)
		require.False(t, gaveUp.Load(), "the connection may serve another request by now")
		require.False(t, w.hasExpired())
	})
}

func TestWatchdogProbesOnlyAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w watchdog
		var probes atomic.Int64
		w.start(100*time.Millisecond, func() bool { return probes.Add(1) < 3 }, func() {})
		for range 10 {
			time.Sleep(60 * time.Millisecond)
			w.recordProgress()
		}
		require.Zero(t, probes.Load())
		time.Sleep(time.Second)
		require.EqualValues(t, 3, probes.Load())
		require.True(t, w.hasExpired())
		w.stop()
	})
}
