package httpx

import (
	"sync"
	"time"
)

// refusalLogInterval is the time between logged refusals of a port: crowds would fill the log.
const refusalLogInterval = 100 * time.Millisecond

// refusalLog decides which refusals are logged. Its zero value logs the first one.
type refusalLog struct {
	mu       sync.Mutex
	lastAt   time.Time
	unlogged int
}

// admit reports whether a refusal is logged, and how many were not since the last one that was.
func (r *refusalLog) admit(now time.Time) (unlogged int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastAt) < refusalLogInterval {
		r.unlogged++

		return 0, false
	}
	unlogged, r.unlogged, r.lastAt = r.unlogged, 0, now

	return unlogged, true
}

// logRefusal logs the refusal of a connection's request that has not arrived whole, with the bytes that it held.
func (l *listener) logRefusal(now time.Time, c *conn, cause error, held int64) {
	unlogged, ok := l.refusals.admit(now)
	if !ok {
		return
	}
	status, reason := refusalOf(cause)
	age := now.Sub(time.Unix(0, c.requestBegunNanos.Load()))
	used, _ := l.intake.Usage()
	l.logger.Info("request-refused", "address", l.Addr().String(), "remote", c.remoteAddr, "status", status, "reason", reason,
		"age", age.Round(time.Millisecond), "held", held, "held-by-all", used, "unlogged", unlogged)
}
