package gatewayhost_test

import (
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// processClockTick is the interval at which a processClock advances.
const processClockTick = 5 * time.Millisecond

// processClock measures the time in which this process gets the processor. Time limits of callers are measured with it: hosts and
// callers share the process, so that on a busy machine all of them take longer than the limit while nothing is wrong. On an idle
// machine it advances like the wall clock.
type processClock struct {
	elapsedNanos atomic.Int64
}

// startProcessClock returns a clock that runs until the test ends.
func startProcessClock(t *testing.T) *processClock {
	t.Helper()
	clock, stop, done := &processClock{}, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
			}
			startedAt := time.Now()
			time.Sleep(processClockTick)
			// Lets all goroutines run that are ready, so that a tick also lasts as long as these wait.
			runtime.Gosched()
			clock.elapsedNanos.Add(int64(min(time.Since(startedAt), 2*processClockTick)))
		}
	}()
	t.Cleanup(func() { close(stop); <-done })

	return clock
}

// elapsed returns the time since the start of the clock.
func (c *processClock) elapsed() time.Duration { return time.Duration(c.elapsedNanos.Load()) }

// Guards against a clock that is slower than the wall clock where nothing delays the process: time limits would be too long.
func TestProcessClockAdvancesLikeWallClockOnIdleMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := startProcessClock(t)
		time.Sleep(time.Second + processClockTick/2)
		require.Equal(t, time.Second, clock.elapsed())
	})
}
