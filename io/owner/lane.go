package owner

import (
	"time"

	"cardamomward/core/admission"
	"cardamomward/core/id"
	"cardamomward/core/placement"
	"cardamomward/core/queue"
	"cardamomward/io/engine"
)

// lane is what a host decides with for one service.
type lane struct {
	queue     queue.Queue[*pending]
	index     placement.Index
	gate      admission.Controller
	backlog   admission.Backlog
	upstreams map[id.Upstream]*engine.Upstream
	// retryAt is when the timer serves calls that were passed over.
	retryAt time.Time
}

// count keeps the number of waiting calls by class.
func (l *lane) count(item queue.Item, delta int) {
	if item.Urgent {
		l.backlog.Urgent += delta
	} else {
		l.backlog.Routine += delta
	}
}

// knows reports whether the settings in force still have the upstream as it is.
func (l *lane) knows(u *engine.Upstream) bool { return l.upstreams[u.ID()] == u }

// configure takes over the upstreams of the service.
func (l *lane) configure(now time.Time, upstreams []*engine.Upstream) {
	known := l.upstreams
	l.upstreams = make(map[id.Upstream]*engine.Upstream, len(upstreams))
	for _, u := range upstreams {
		l.upstreams[u.ID()] = u
		if old, ok := known[u.ID()]; ok && old != u {
			l.index.Drop(u.ID())
		}
		l.index.Set(u.ID(), u.Domain())
	}
	for name := range known {
		if _, ok := l.upstreams[name]; !ok {
			l.index.Drop(name)
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
func (l *lane) place(now time.Time, t *queue.Ticket[*pending]) queue.Verdict {
	value := t.Value
	value.request.Waited = now.Sub(t.Enqueued)
	for {
		name, outcome := l.index.Choose(now, &value.request)
		switch outcome {
		case placement.Full:
			return queue.Full
		case placement.Hold, placement.Excluded:
			return queue.Passed
		case placement.Chosen:
		}
		u := l.upstreams[name]
		if !u.Available(now) {
			l.index.SetAvailable(name, false)

			continue
		}
		u.Begin()
		l.index.Begin(name, now)
		l.gate.RecordDispatch(now)
		value.granted <- grant{upstream: u, at: now}

		return queue.Taken
	}
}

// serve places waiting calls until none of them finds room.
func (l *lane) serve(now time.Time) {
	for {
		t, ok := l.queue.Pop(now, func(t *queue.Ticket[*pending]) queue.Verdict { return l.place(now, t) })
		if !ok {
			return
		}
		l.count(t.Item, -1)
	}
}
