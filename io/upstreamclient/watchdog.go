package upstreamclient

import (
	"sync"
	"time"
)

// watchdog detects an upstream that is silent and unreachable; its zero value is disabled.
type watchdog struct {
	mu             sync.Mutex
	silenceTimeout time.Duration
	timer          *time.Timer
	stopped        bool
	expired        bool
}

// start starts the timer. After each silenceTimeout without progress it calls probe, and calls giveUp if the probe
// fails. Once stopped it does neither, since the connection may serve another request by then.
func (w *watchdog) start(silenceTimeout time.Duration, probe func() bool, giveUp func()) {
	if silenceTimeout <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silenceTimeout = silenceTimeout
	w.timer = time.AfterFunc(silenceTimeout, func() {
		reachable := probe()
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.stopped:
		case reachable:
			w.timer.Reset(w.silenceTimeout)
		default:
			w.expired = true
			giveUp()
		}
	})
}

func (w *watchdog) recordProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.silenceTimeout)
	}
}

// check makes the watchdog probe now.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(0)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// hasExpired reports whether giveUp was called.
func (w *watchdog) hasExpired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.expired
}
