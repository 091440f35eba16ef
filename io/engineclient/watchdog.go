package engineclient

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/stall"
)

// watchdog cancels a stream that its stall detector finds silent or stalled.
type watchdog struct {
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	detector    *stall.Detector
	timer       *time.Timer
	lastTokenAt time.Time
	stopped     bool
}

func startWatchdog(detector *stall.Detector, cancel context.CancelCauseFunc) *watchdog {
	g := &watchdog{cancel: cancel, detector: detector}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, next := detector.Check(time.Now())
	g.timer = time.AfterFunc(next, g.check)

	return g
}

func (g *watchdog) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	status, next := g.detector.Check(time.Now())
	switch status {
	case stall.Silent:
		g.cancel(ErrSilent.New("nothing came within the deadline"))
	case stall.Stalled:
		g.cancel(ErrStalled.New("no token within the deadline"))
	default:
		g.timer.Reset(next)
	}
}

func (g *watchdog) recordKeepalive() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.RecordKeepalive(time.Now())
}

// recordToken records a token for the stall detector and its latency in the metrics.
func (g *watchdog) recordToken(call *streamRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detector.RecordToken(now)
	if _, next := g.detector.Check(now); !g.stopped {
		g.timer.Reset(next)
	}
	switch {
	case call.nextIndex == 0:
		timeToFirstToken.observe(now.Sub(call.sentAt))
	case !g.lastTokenAt.IsZero():
		timeBetweenTokens.observe(now.Sub(g.lastTokenAt))
	}
	g.lastTokenAt = now
}

func (g *watchdog) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}
