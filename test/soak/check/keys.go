package check

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"time"
)

// isKeyEvidence reports whether a response shows if the host knew the request's key.
func (r *Request) isKeyEvidence() bool {
	return r.Status != 0 && (r.Status == http.StatusUnauthorized || r.Status == http.StatusOK)
}

// findOutdatedKeys finds hosts that are connected to the store and still serve a withdrawn key, or still refuse an added one.
func findOutdatedKeys(h *History) []Violation {
	keys := h.keysByName()
	var violations []Violation
	for i := range h.Requests {
		r := &h.Requests[i]
		key, known := keys[r.Key]
		if !known || !r.isKeyEvidence() || !h.isConnected(r) {
			continue
		}
		isOverdue := func(at time.Time) bool { return !at.IsZero() && r.SentAt.After(at.Add(h.Bounds.ConfigurationApply)) }
		isAccepted := r.Status != http.StatusUnauthorized
		if isAccepted && isOverdue(key.WithdrawnAt) {
			violations = append(violations, violation(r.SentAt, "%s: %s served key %s, which was withdrawn %s before", r.ID, r.Host, r.Key, r.SentAt.Sub(key.WithdrawnAt)))
		}
		isWithdrawn := !key.WithdrawnAt.IsZero() && !r.EndedAt.Before(key.WithdrawnAt)
		if !isAccepted && isOverdue(key.AddedAt) && !isWithdrawn {
			violations = append(violations, violation(r.SentAt, "%s: %s refused key %s, which was added %s before", r.ID, r.Host, r.Key, r.SentAt.Sub(key.AddedAt)))
		}
	}

	return violations
}

// findUsesOfRemovedUpstreams finds requests that a connected host sent to an upstream whose registration had been removed.
func findUsesOfRemovedUpstreams(h *History) []Violation {
	requests := make(map[RequestID]*Request)
	for i := range h.Requests {
		requests[h.Requests[i].ID] = &h.Requests[i]
	}
	var violations []Violation
	for _, e := range h.Executions {
		r := requests[e.Request]
		if r == nil || !h.isConnected(r) {
			continue
		}
		for _, removal := range h.Removals {
			isOver := !removal.To.IsZero() && !e.At.Before(removal.To)
			if removal.Upstream == e.Upstream && r.SentAt.After(removal.From.Add(h.Bounds.ConfigurationApply)) && !isOver {
				violations = append(violations, violation(e.At, "%s sent %s to %s, which was removed %s before", r.Host, r.ID, e.Upstream, e.At.Sub(removal.From)))
			}
		}
	}

	return violations
}

func (h *History) keysByName() map[string]Key {
	keys := make(map[string]Key)
	for _, k := range h.Keys {
		keys[k.Name] = k
	}

	return keys
}

// isConnected reports whether the request's host was connected to the store when the request was sent.
func (h *History) isConnected(r *Request) bool {
	return !h.isDisturbed(r.SentAt.Add(-h.Bounds.StableWindow), r.EndedAt, func(d *Disturbance) bool {
		return d.Kind == StoreDisturbed && (d.Host == "" || d.Host == r.Host) || d.Kind == Stall ||
			d.Host == r.Host && (d.Kind == HostPaused || d.Kind == HostLost || d.Kind == HostDrained)
	})
}

// interval is a range of versions, without its end.
type interval struct{ from, to int64 }

// versionsAllowedBy returns the versions of the configuration at which a host responds as it did, in ascending order.
func (k Key) versionsAllowedBy(status int) []interval {
	withdrawn := k.WithdrawnIn
	if withdrawn == 0 {
		withdrawn = math.MaxInt64
	}
	if status != http.StatusUnauthorized {
		return []interval{{k.AddedIn, withdrawn}}
	}

	return []interval{{0, k.AddedIn}, {withdrawn, math.MaxInt64}}
}

// findConfigurationsThatGoBack finds hosts that respond as only an older configuration allows than one that they have shown before, also
// in an earlier process.
func findConfigurationsThatGoBack(h *History) []Violation {
	keys := h.keysByName()
	type evidence struct {
		request *Request
		shown   int64
	}
	byHost := make(map[Host][]*Request)
	for i := range h.Requests {
		if r := &h.Requests[i]; r.isKeyEvidence() && keys[r.Key].Name != "" {
			byHost[r.Host] = append(byHost[r.Host], r)
		}
	}
	var violations []Violation
	for host, requests := range byHost {
		slices.SortFunc(requests, func(a, b *Request) int { return cmp.Compare(a.SentAt.UnixNano(), b.SentAt.UnixNano()) })
		var shown []evidence
		for _, r := range requests {
			// Only responses that had ended before this request was sent show an earlier version.
			newest := evidence{}
			for _, e := range shown {
				if e.request.EndedAt.Before(r.SentAt) && e.shown > newest.shown {
					newest = e
				}
			}
			lowest, ok := lowestFrom(keys[r.Key].versionsAllowedBy(r.Status), newest.shown)
			if !ok {
				violations = append(violations, violation(r.SentAt, "%s: %s responded with %d for key %s, but had shown version %d to %s",
					r.ID, host, r.Status, r.Key, newest.shown, newest.request.ID))

				continue
			}
			if lowest > newest.shown {
				shown = append(shown, evidence{r, lowest})
			}
		}
	}

	return violations
}

// lowestFrom returns the lowest version of the intervals that is not less than a version.
func lowestFrom(allowed []interval, version int64) (int64, bool) {
	for _, i := range allowed {
		if lowest := max(i.from, version); lowest < i.to {
			return lowest, true
		}
	}

	return 0, false
}
