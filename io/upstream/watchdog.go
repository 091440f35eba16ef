package upstream

import (
	"sync"
	"time"
)

// watchdog looks for an upstream that is silent; its zero value watches nothing.
type watchdog struct {
	mu      sync.Mutex
	stall   time.Duration
	timer   *time.Timer
	stopped bool
	gone    bool
}

// start begins to watch. After each silence it probes, and gives the upstream up where that fails; once stopped it does
// neither, since the connection may serve another request by then.
func (w *watchdog) start(stall time.Duration, probe func() bool, giveUp func()) {
	if stall <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stall = stall
	w.timer = time.AfterFunc(stall, func() {
		reachable := probe()
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.stopped:
		case reachable:
			w.timer.Reset(w.stall)
		default:
			w.gone = true
			giveUp()
		}
	})
}

func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.stall)
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

// expired reports whether the upstream was given up.
func (w *watchdog) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.gone
}
