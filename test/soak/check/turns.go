package check

import (
	"net/http"
	"time"
)

const (
	// memoryWindow is how long before and after its end a turn counts as answered during a disturbance of the store: a host takes the
	// store for down 0.7 s after its last response.
	memoryWindow = 2 * time.Second
	// writeBackLimit is the time after a disturbance of the store in which turns may be held only in memory.
	writeBackLimit = 4 * time.Second
	// memoryCopies is the number of hosts that hold a turn answered without the store.
	memoryCopies = 4
	// retentionMargin allows for the difference between the times at which the host and the caller see the end of a turn.
	retentionMargin = 2 * time.Second
)

// findLostTurns finds turns that were answered whole and are reported as missing while they must be retained.
func findLostTurns(h *History) []Violation {
	answered := h.answeredTurns()
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind != Turn || r.Previous == "" || r.Status != http.StatusNotFound && r.Status != http.StatusGone {
			continue
		}
		previous, ok := answered[r.Previous]
		if !ok || r.EndedAt.After(previous.EndedAt.Add(h.Bounds.Retention-retentionMargin)) || h.mayChainBeLost(previous, answered) {
			continue
		}
		violations = append(violations, violation(r.EndedAt, "%s at %s got %d: %s was answered whole at %s by %s",
			r.ID, r.Host, r.Status, previous.ID, previous.EndedAt.Format("15:04:05.000"), previous.Host))
	}

	return violations
}

// answeredTurns returns the turns that were answered whole.
func (h *History) answeredTurns() map[RequestID]*Request {
	answered := make(map[RequestID]*Request)
	for i := range h.Requests {
		if r := &h.Requests[i]; r.Kind == Turn && r.isAnswered() {
			answered[r.ID] = r
		}
	}

	return answered
}

// mayChainBeLost reports whether a turn or one of those before it may be lost: its program cannot continue without them.
func (h *History) mayChainBeLost(turn *Request, answered map[RequestID]*Request) bool {
	for ; turn != nil; turn = answered[turn.Previous] {
		if h.mayBeLost(turn) {
			return true
		}
	}

	return false
}

// mayBeLost reports whether a turn was answered while the store was disturbed, and as many hosts as hold it in memory were lost before it
// had to be durable (docs/decisions/platform.md, "Not held"). A host that drains hands its turns to those that stay, so that drains
// count only if no host stays.
func (h *History) mayBeLost(turn *Request) bool {
	from, to := turn.SentAt.Add(-memoryWindow), turn.EndedAt.Add(memoryWindow)
	durableBy := time.Time{}
	for i := range h.Disturbances {
		d := &h.Disturbances[i]
		if d.Kind != StoreDisturbed && d.Kind != Stall && d.Kind != HostPaused || !d.overlaps(from, to) {
			continue
		}
		if end := h.quietAfter(d.To).Add(writeBackLimit); end.After(durableBy) {
			durableBy = end
		}
	}
	if durableBy.IsZero() {
		return false
	}
	lost, gone := make(map[Host]bool), make(map[Host]bool)
	for i := range h.Disturbances {
		d := &h.Disturbances[i]
		if d.Kind != HostLost && d.Kind != HostDrained || !d.overlaps(from, durableBy) {
			continue
		}
		gone[d.Host] = true
		if d.Kind == HostLost {
			lost[d.Host] = true
		}
	}

	return len(lost) >= min(memoryCopies, len(h.Hosts)) || len(gone) == len(h.Hosts)
}

// quietAfter returns the first time from a moment on at which the store has been undisturbed for writeBackLimit.
func (h *History) quietAfter(at time.Time) time.Time {
	for range len(h.Disturbances) {
		moved := false
		for i := range h.Disturbances {
			d := &h.Disturbances[i]
			if (d.Kind == StoreDisturbed || d.Kind == Stall) && d.overlaps(at, at.Add(writeBackLimit)) && d.To.After(at) {
				at, moved = d.To, true
			}
		}
		if !moved {
			break
		}
	}

	return at
}

// findWrongTranscripts finds turns for which an upstream received another text than that of all turns before them in their order.
func findWrongTranscripts(h *History) []Violation {
	transcripts := make(map[RequestID]string)
	for i := range h.Requests {
		if r := &h.Requests[i]; r.Kind == Turn {
			transcripts[r.ID] = r.Transcript
		}
	}
	var violations []Violation
	for _, e := range h.Executions {
		if expected, ok := transcripts[e.Request]; ok && e.Body != expected {
			violations = append(violations, violation(e.At, "%s received %.300q for %s instead of %.300q", e.Upstream, e.Body, e.Request, expected))
		}
	}

	return violations
}

// findLateRecoveries finds programs that could not continue in time after the last fault. Stalls of the machine extend that time.
func findLateRecoveries(h *History) []Violation {
	limit := h.FaultsEndedAt.Add(h.Bounds.Recovery)
	for i := range h.Disturbances {
		if d := &h.Disturbances[i]; d.Kind == Stall && d.From.After(h.FaultsEndedAt) {
			limit = limit.Add(d.To.Sub(d.From))
		}
	}
	answered := h.answeredTurns()
	var violations []Violation
	for _, s := range h.Settlements {
		if previous := answered[s.Previous]; previous != nil && h.mayChainBeLost(previous, answered) {
			continue
		}
		if s.ServedAt.IsZero() {
			violations = append(violations, violation(limit, "%s cannot continue from %q; the last status is %d", s.Operation, s.Previous, s.LastStatus))
		} else if s.ServedAt.After(limit) {
			violations = append(violations, violation(s.ServedAt, "%s continued from %q only %s after the last fault", s.Operation, s.Previous, s.ServedAt.Sub(h.FaultsEndedAt)))
		}
	}

	return violations
}
