package check

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
)

// Tokens is a number of tokens.
type Tokens int64

// undurableBudgetDivisor: a quarter of a budget may be spent beyond the durable count while the store is disturbed, and is charged to each
// program after a loss of most hosts (docs/decisions/platform.md).
const undurableBudgetDivisor = 4

// program is the observed part of a program with a budget.
type program struct {
	first, last *Request
	budget      Tokens
	// received are the tokens that the caller received, and attempts the attempts that may be charged.
	received Tokens
	attempts Tokens
}

// findWrongBudgets finds programs that generated more tokens than their budget and one turn, and programs that were refused for a spent
// budget that no count of their turns can explain.
func findWrongBudgets(h *History) []Violation {
	programs := make(map[string]*program)
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Budget == 0 {
			continue
		}
		p := programs[r.Program]
		if p == nil {
			p = &program{first: r, budget: r.Budget}
			programs[r.Program] = p
		}
		p.last = r
		if r.Status == http.StatusPaymentRequired {
			mayBeCharged := h.haveMostHostsBeenGone() || h.isDisturbed(p.first.SentAt, r.EndedAt, func(d *Disturbance) bool { return d.Kind == Stall })
			if (p.attempts+1)*h.Bounds.MaxTurnTokens <= p.budget && !mayBeCharged {
				violations = append(violations, violation(r.EndedAt, "%s: %s refused program %s for its budget of %d after %d attempts of at most %d tokens",
					r.ID, r.Host, r.Program, p.budget, p.attempts, h.Bounds.MaxTurnTokens))
			}

			continue
		}
		p.attempts++
		p.received += Tokens(strings.Count(r.Body, "\n\n")) * h.Bounds.TokensPerEvent
	}
	for name, p := range programs {
		limit := p.budget + h.Bounds.MaxTurnTokens
		if h.haveMostHostsBeenGone() {
			limit += p.budget/undurableBudgetDivisor + h.Bounds.MaxTurnTokens
		}
		if p.received > limit {
			violations = append(violations, violation(p.last.EndedAt, "program %s received %d tokens of a budget of %d", name, p.received, p.budget))
		}
	}

	return violations
}

// haveMostHostsBeenGone reports whether at some time half of the hosts or more were lost, drained or paused: programs are charged for turns
// that may have been forgotten then.
func (h *History) haveMostHostsBeenGone() bool {
	for i := range h.Disturbances {
		at := h.Disturbances[i].From
		gone := make(map[Host]bool)
		for j := range h.Disturbances {
			d := &h.Disturbances[j]
			if (d.Kind == HostLost || d.Kind == HostDrained || d.Kind == HostPaused) && d.overlaps(at, at) {
				gone[d.Host] = true
			}
		}
		if 2*len(gone) >= len(h.Hosts) {
			return true
		}
	}

	return false
}

// findExcessiveRates finds the first window in which upstreams executed more requests of the limited workspace than its rate allows. The
// times at which upstreams received the requests count; a request that reaches an upstream twice counts once, as it was admitted once.
func findExcessiveRates(h *History) []Violation {
	limited := make(map[RequestID]bool)
	for i := range h.Requests {
		if r := &h.Requests[i]; r.Key == h.Bounds.RateKey {
			limited[r.ID] = true
		}
	}
	var executions []Execution
	for _, e := range h.Executions {
		if limited[e.Request] {
			executions = append(executions, e)
			limited[e.Request] = false
		}
	}
	slices.SortFunc(executions, func(a, b Execution) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	begin := 0
	for end, e := range executions {
		for e.At.Sub(executions[begin].At) >= h.Bounds.RateWindow {
			begin++
		}
		isDelayed := func(d *Disturbance) bool {
			return d.Kind == UpstreamDisturbed || d.Kind == Stall || d.Kind == HostPaused
		}
		count := end - begin + 1
		// Requests that were held on their way arrive together.
		if float64(count) > h.Bounds.RequestsPerWindow && !h.isDisturbed(executions[begin].At.Add(-h.Bounds.RateWindow), e.At, isDelayed) {
			return []Violation{violation(e.At, "%d requests of %s were executed within %s; at most %.0f are allowed", count, h.Bounds.RateKey, h.Bounds.RateWindow, h.Bounds.RequestsPerWindow)}
		}
	}

	return nil
}
