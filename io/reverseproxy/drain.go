package reverseproxy

import (
	"net/http"
	"sync"
	"time"

	"cardamomward/core/drain"
)

// routeDurations remembers how long recent requests of each route took; its zero value is empty.
type routeDurations struct {
	mu        sync.Mutex
	durations drain.Durations[string]
}

func (d *routeDurations) record(now time.Time, route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.Record(now, route, duration)
}

func (d *routeDurations) limit(now time.Time, route string) (limit time.Duration, isKnown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.durations.Limit(now, route)
}

// checkShutdown returns an error if the host ends its responses before the request can end. A request that is taken ends before that, so that
// its caller gets a response in any case.
func (p *Proxy) checkShutdown(req *proxiedRequest) *errorResponse {
	if p.ResponsesEndAt == nil {
		return nil
	}
	endsAt, isStopping := p.ResponsesEndAt()
	if !isStopping {
		return nil
	}
	limit, isKnown := p.durations.limit(req.startedAt, req.route.Name)
	request := drain.Request{Deadline: req.deadline, IsRepeatable: req.route.IsRetryable(), ExpectedDuration: limit, IsDurationKnown: isKnown}
	if !drain.CanFinish(req.startedAt, endsAt, request) {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: retryDelay, closeConnection: true}
	}
	if latest := endsAt.Add(-responseMargin); req.deadline.After(latest) {
		req.deadline = latest
	}

	return nil
}
