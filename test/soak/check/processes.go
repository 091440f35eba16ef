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

// quietWindow is how long before a request no other fault may have been active for its end to be blamed on the drain or the pause of its
// host.
const quietWindow = 3 * time.Second

// isCut reports whether an upstream executed a request whose response did not arrive whole.
func (r *Request) isCut(executed []Execution) bool {
	return !r.HasLeft && !r.IsWhole && len(executed) > 0
}

// isExcuse reports whether a disturbance may cut the response to a request. Only turns depend on the store.
func (r *Request) isExcuse(d *Disturbance) bool {
	return d.Kind != StoreDisturbed || r.Kind == Turn
}

// findCutRequests finds requests that an upstream executed and whose response was cut by the drain of their host while other hosts stayed.
// Requests beside other faults are left out: these may cut responses.
func findCutRequests(h *History) []Violation { return h.findRequestsCutByDrains(false) }

// findRequestsCutByStopOfAll finds requests that were cut while all hosts drained or were lost.
func findRequestsCutByStopOfAll(h *History) []Violation { return h.findRequestsCutByDrains(true) }

func (h *History) findRequestsCutByDrains(ofAll bool) []Violation {
	executions := h.executionsByRequest()
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		if !r.isCut(executions[r.ID]) || h.doesNoHostStay(r) != ofAll {
			continue
		}
		isOwnDrain := func(d *Disturbance) bool { return d.Kind == HostDrained && d.Host == r.Host }
		isOther := func(d *Disturbance) bool { return d.Kind != HostDrained && r.isExcuse(d) }
		if h.isDisturbed(r.SentAt, r.EndedAt, isOwnDrain) && !h.isDisturbed(r.SentAt.Add(-quietWindow), r.EndedAt, isOther) {
			violations = append(violations, violation(r.EndedAt, "%s to %s was sent at %s, executed and cut while the host drained; status %d, body %.100q",
				r.ID, r.Host, r.SentAt.Format("15:04:05.000"), r.Status, r.Body))
		}
	}

	return violations
}

// doesNoHostStay reports whether all hosts drained or were lost during a request.
func (h *History) doesNoHostStay(r *Request) bool {
	gone := make(map[Host]bool)
	for i := range h.Disturbances {
		d := &h.Disturbances[i]
		if (d.Kind == HostDrained || d.Kind == HostLost) && d.overlaps(r.SentAt, r.EndedAt) {
			gone[d.Host] = true
		}
	}

	return len(gone) == len(h.Hosts)
}

// maxHarmlessPause is the longest pause after which a request has time left: its deadline is 3 s after it was sent.
const maxHarmlessPause = 1500 * time.Millisecond

// findRequestsCutByPauses finds requests that an upstream executed and whose response was cut although their host was only paused for a
// while, and nothing else was disturbed.
func findRequestsCutByPauses(h *History) []Violation {
	executions := h.executionsByRequest()
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		if !r.isCut(executions[r.ID]) {
			continue
		}
		isOwnPause := func(d *Disturbance) bool {
			return d.Kind == HostPaused && d.Host == r.Host && d.To.Sub(d.From) <= maxHarmlessPause
		}
		isOther := func(d *Disturbance) bool { return !isOwnPause(d) && r.isExcuse(d) }
		if h.isDisturbed(r.SentAt, r.EndedAt, isOwnPause) && !h.isDisturbed(r.SentAt.Add(-quietWindow), r.EndedAt, isOther) {
			violations = append(violations, violation(r.EndedAt, "%s to %s was sent at %s, executed and cut though the host was only paused; status %d, body %.100q",
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
