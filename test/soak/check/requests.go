package check

import (
	"net/http"
	"strings"

	"cardamomward/platform/standin"
)

// findRepeatedOrders finds calls that were executed twice though they must not be repeated. A caller sends an operation again only after
// a rejection, which says that it was not executed.
func findRepeatedOrders(h *History) []Violation {
	executions := h.executionsByRequest()
	byOperation := make(map[string][]Execution)
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind != Order {
			continue
		}
		before := len(byOperation[r.Operation])
		byOperation[r.Operation] = append(byOperation[r.Operation], executions[r.ID]...)
		if all := byOperation[r.Operation]; len(all) > 1 && len(all) > before {
			violations = append(violations, violation(r.SentAt, "%s was executed %d times, last for %s sent to %s: %v", r.Operation, len(all), r.ID, r.Host, all))
		}
	}

	return violations
}

// findRestartedRequests finds attempts that were executed twice although no upstream was disturbed meanwhile: a host that is silent does not
// give up what it runs, and others do not start it.
func findRestartedRequests(h *History) []Violation {
	executions := h.executionsByRequest()
	isUpstream := func(d *Disturbance) bool { return d.Kind == UpstreamDisturbed || d.Kind == Stall }
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind == Order || len(executions[r.ID]) < 2 || h.isDisturbed(r.SentAt, r.EndedAt, isUpstream) {
			continue
		}
		violations = append(violations, violation(r.SentAt, "%s sent to %s was executed %d times: %v", r.ID, r.Host, len(executions[r.ID]), executions[r.ID]))
	}

	return violations
}

// rejectionStatuses are the statuses by which a host says that it has not executed a request.
var rejectionStatuses = map[int]bool{
	http.StatusBadRequest: true, http.StatusUnauthorized: true, http.StatusPaymentRequired: true, http.StatusNotFound: true,
	http.StatusGone: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// isRejection reports whether a host has responded that it did not execute the request.
func (r *Request) isRejection() bool { return !r.IsFromUpstream && rejectionStatuses[r.Status] }

// findFalseRejections finds requests that were executed although the host has rejected them, and responses of upstreams to requests that
// none executed.
func findFalseRejections(h *History) []Violation {
	executions := h.executionsByRequest()
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		executed := executions[r.ID]
		if r.isRejection() && len(executed) > 0 {
			violations = append(violations, violation(r.EndedAt, "%s got %d from %s but was executed: %v", r.ID, r.Status, r.Host, executed))
		}
		if r.IsFromUpstream && len(executed) == 0 {
			violations = append(violations, violation(r.EndedAt, "%s got %d from %s as of an upstream, but none executed it", r.ID, r.Status, r.Host))
		}
	}

	return violations
}

// findForeignResponses finds responses that belong to another request: by the id that they name, or by the operation that upstreams repeat
// in each event and plain response.
func findForeignResponses(h *History) []Violation {
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.AnsweredID != "" && r.AnsweredID != r.ID {
			violations = append(violations, violation(r.EndedAt, "%s got the response to %s from %s", r.ID, r.AnsweredID, r.Host))
		}
		// A stream that is taken up after its last event has no more events.
		isEmptyRest := r.Kind == Stream && r.Body == ""
		if r.isAnswered() && !isEmptyRest && !strings.Contains(r.Body, r.Operation) {
			violations = append(violations, violation(r.EndedAt, "%s for %s got %.200q from %s", r.ID, r.Operation, r.Body, r.Host))
		}
	}

	return violations
}

// findBrokenStreams finds complete streams that are not the whole text of one software version, and parts that are not its beginning.
func findBrokenStreams(h *History) []Violation {
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind == Turn && r.isAnswered() && !h.isStreamText(r.Operation, r.Body, true) {
			violations = append(violations, violation(r.EndedAt, "turn %s of %s from %s: %.300q", r.ID, r.Operation, r.Host, r.Body))
		}
	}
	for _, s := range h.Received {
		if !h.isStreamText(s.Operation, s.Events, s.IsComplete) {
			violations = append(violations, violation(h.FaultsEndedAt, "stream of %s, complete %t: %.300q", s.Operation, s.IsComplete, s.Events))
		}
	}

	return violations
}

// isStreamText reports whether a text is the whole stream of one version, or its beginning.
func (h *History) isStreamText(operation, text string, isComplete bool) bool {
	for _, version := range h.Bounds.Versions {
		whole := standin.TaggedStreamText(version, operation, h.Bounds.EventCount)
		if text == whole || !isComplete && strings.HasPrefix(whole, text) {
			return true
		}
	}

	return false
}
