package engineclient

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/stall"
)

// watchdog cancels a stream that its stall detector reports as silent or stalled.
type watchdog struct {
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	detector    *stall.Detector
	timer       *time.Timer
	lastTokenAt time.Time
	stopped     bool
}

func startWatchdog(detector *stall.Detector, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{cancel: cancel, detector: detector}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, next := detector.Check(time.Now())
	w.timer = time.AfterFunc(next, w.check)

	return w
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	status, next := w.detector.Check(time.Now())
	switch status {
	case stall.Silent:
		w.cancel(ErrSilent.New("no data was received within the silence timeout"))
	case stall.Stalled:
		w.cancel(ErrStalled.New("no token was received within the progress timeout"))
	default:
		w.timer.Reset(next)
	}
}

func (w *watchdog) recordKeepalive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.RecordKeepalive(time.Now())
}

// recordToken records a token for the stall detector and its latency in the metrics.
func (w *watchdog) recordToken(stream *streamRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.detector.RecordToken(now)
	if _, next := w.detector.Check(now); !w.stopped {
		w.timer.Reset(next)
	}
	switch {
	case stream.nextIndex == 0:
		timeToFirstToken.observe(now.Sub(stream.sentAt))
	case !w.lastTokenAt.IsZero():
		timeBetweenTokens.observe(now.Sub(w.lastTokenAt))
	}
	w.lastTokenAt = now
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
