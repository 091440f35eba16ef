package owner

import (
	"time"

	"cardamomward/core/admission"
	"cardamomward/core/cacheaware"
	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
	"cardamomward/io/engineclient"
)

// lane is what a host decides with for one service.
type lane struct {
	queue     fairqueue.Queue[*pending]
	index     cacheaware.Balancer
	gate      admission.Controller
	backlog   admission.Backlog
	upstreams map[id.Upstream]*engineclient.Upstream
	// retryAt is when the timer serves calls that were passed over.
	retryAt time.Time
}

// count keeps the number of waiting calls by class.
func (l *lane) count(item fairqueue.Item, delta int) {
	if item.Urgent {
		l.backlog.Urgent += delta
	} else {
		l.backlog.Routine += delta
	}
}

// knows reports whether the settings in force still have the upstream as it is.
func (l *lane) knows(u *engineclient.Upstream) bool { return l.upstreams[u.ID()] == u }

// configure takes over the upstreams of the service.
func (l *lane) configure(now time.Time, upstreams []*engineclient.Upstream) {
	known := l.upstreams
	l.upstreams = make(map[id.Upstream]*engineclient.Upstream, len(upstreams))
	for _, u := range upstreams {
		l.upstreams[u.ID()] = u
		if old, ok := known[u.ID()]; ok && old != u {
			l.index.RemoveUpstream(u.ID())
		}
		l.index.SetUpstream(u.ID(), u.FailureDomain())
	}
	for name := range known {
		if _, ok := l.upstreams[name]; !ok {
			l.index.RemoveUpstream(name)
		}
	}
	l.refresh(now)
}

// refresh takes over which upstreams take new calls.
func (l *lane) refresh(now time.Time) {
	for name, u := range l.upstreams {
		l.index.SetAvailable(name, u.Available(now))
	}
}

// place grants an upstream to a call if one has room.
func (l *lane) place(now time.Time, t *fairqueue.Entry[*pending]) fairqueue.AdmitResult {
	value := t.Value
	value.request.WaitTime = now.Sub(t.EnqueuedAt)
	for {
		name, outcome := l.index.Pick(now, &value.request)
		switch outcome {
		case cacheaware.NoCapacity:
			return fairqueue.NoCapacity
		case cacheaware.WaitForCachedPrefix, cacheaware.OnlyExcluded:
			return fairqueue.Skipped
		case cacheaware.Picked:
		}
		u := l.upstreams[name]
		if !u.Available(now) {
			l.index.SetAvailable(name, false)

			continue
		}
		u.StartCall()
		l.index.StartCall(name, now)
		l.gate.RecordDispatch(now)
		value.granted <- grant{upstream: u, at: now}

		return fairqueue.Admitted
	}
}

// serve places waiting calls until none of them finds room.
func (l *lane) serve(now time.Time) {
	for {
		t, ok := l.queue.Pop(now, func(t *fairqueue.Entry[*pending]) fairqueue.AdmitResult { return l.place(now, t) })
		if !ok {
			return
		}
		l.count(t.Item, -1)
	}
}
