package check

import "time"

// findUnexpectedExits finds processes that ended without a signal of the soak, did not end in time after SIGTERM, or ended with an error.
func findUnexpectedExits(h *History) []Violation {
	var violations []Violation
	for _, e := range h.Exits {
		sinceTerm := e.At.Sub(e.TerminatedAt)
		switch {
		case e.TerminatedAt.IsZero() && e.KilledAt.IsZero():
			violations = append(violations, violation(e.At, "%s ended by itself: %s", e.Host, e.State))
		case e.TerminatedAt.IsZero():
			// A killed process tells nothing.
		case sinceTerm > h.Bounds.DrainLimit && !h.isPausedOrStalled(e):
			violations = append(violations, violation(e.At, "%s ended only %s after SIGTERM", e.Host, sinceTerm))
		case e.KilledAt.IsZero() && !e.IsSuccess && e.WasReady:
			violations = append(violations, violation(e.At, "%s ended with an error after SIGTERM: %s", e.Host, e.State))
		}
	}

	return violations
}

func (h *History) isPausedOrStalled(e Exit) bool {
	return h.isDisturbed(e.TerminatedAt, e.At, func(d *Disturbance) bool {
		return d.Kind == Stall || d.Kind == HostPaused && d.Host == e.Host
	})
}

// drainQuietWindow is how long before a request no other fault may have been active for its end to be blamed on the drain of its host.
const drainQuietWindow = 3 * time.Second

// findCutRequests finds requests that an upstream executed and whose response was cut by the drain of their host. Requests beside other
// faults are left out: these may cut responses.
func findCutRequests(h *History) []Violation {
	executions := h.executionsByRequest()
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		isCut := !r.HasLeft && !r.IsWhole && len(executions[r.ID]) > 0
		if !isCut {
			continue
		}
		isOwnDrain := func(d *Disturbance) bool { return d.Kind == HostDrained && d.Host == r.Host }
		isOther := func(d *Disturbance) bool { return d.Kind != HostDrained }
		if h.isDisturbed(r.SentAt, r.EndedAt, isOwnDrain) && !h.isDisturbed(r.SentAt.Add(-drainQuietWindow), r.EndedAt, isOther) {
			violations = append(violations, violation(r.EndedAt, "%s to %s was sent at %s, executed and cut while the host drained; status %d, body %.100q",
				r.ID, r.Host, r.SentAt.Format("15:04:05.000"), r.Status, r.Body))
		}
	}

	return violations
}

// findExcessiveUsage finds processes that use more memory or files than their host allows, one violation for each host.
func findExcessiveUsage(h *History) []Violation {
	reported := make(map[Host]bool)
	var violations []Violation
	for _, u := range h.Usages {
		if (u.Bytes > h.Bounds.HostBytes || u.Files > h.Bounds.HostFiles) && !reported[u.Host] {
			reported[u.Host] = true
			violations = append(violations, violation(u.At, "%s uses %d bytes of %d and %d files of %d", u.Host, u.Bytes, h.Bounds.HostBytes, u.Files, h.Bounds.HostFiles))
		}
	}

	return violations
}
