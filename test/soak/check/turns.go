package check

import (
	"net/http"
	"time"
)

// retentionMargin allows for the difference between the times at which the host and the caller see the end of a turn.
const retentionMargin = 2 * time.Second

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
		if !ok || r.EndedAt.After(previous.EndedAt.Add(h.Bounds.Retention-retentionMargin)) {
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
	var violations []Violation
	for _, s := range h.Settlements {
		if s.ServedAt.IsZero() {
			violations = append(violations, violation(limit, "%s cannot continue from %q; the last status is %d", s.Operation, s.Previous, s.LastStatus))
		} else if s.ServedAt.After(limit) {
			violations = append(violations, violation(s.ServedAt, "%s continued from %q only %s after the last fault", s.Operation, s.Previous, s.ServedAt.Sub(h.FaultsEndedAt)))
		}
	}

	return violations
}
