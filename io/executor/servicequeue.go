package executor

import (
	"time"

	"cardamomward/core/admission"
	"cardamomward/core/cacheaware"
	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
	"cardamomward/io/engineclient"
)

// serviceQueue holds the waiting calls of one service with its load balancer and admission controller.
type serviceQueue struct {
	waiting          fairqueue.Queue[*waitingCall]
	balancer         cacheaware.Balancer
	admissionControl admission.Controller
	backlog          admission.Backlog
	upstreams        map[id.Upstream]*engineclient.Upstream
	// retryAt is the time at which a pending timer dispatches the skipped calls again.
	retryAt time.Time
}

// addWaiting adds delta to the number of waiting calls of the item's priority class.
func (q *serviceQueue) addWaiting(item fairqueue.Item, delta int) {
	if item.Urgent {
		q.backlog.Urgent += delta
	} else {
		q.backlog.Routine += delta
	}
}

// isCurrent reports whether the upstream is unchanged in the settings in force.
func (q *serviceQueue) isCurrent(u *engineclient.Upstream) bool { return q.upstreams[u.ID()] == u }

// setUpstreams replaces the upstreams of the service.
func (q *serviceQueue) setUpstreams(now time.Time, upstreams []*engineclient.Upstream) {
	known := q.upstreams
	q.upstreams = make(map[id.Upstream]*engineclient.Upstream, len(upstreams))
	for _, u := range upstreams {
		q.upstreams[u.ID()] = u
		if old, ok := known[u.ID()]; ok && old != u {
			q.balancer.RemoveUpstream(u.ID())
		}
		q.balancer.SetUpstream(u.ID(), u.FailureDomain())
	}
	for name := range known {
		if _, ok := q.upstreams[name]; !ok {
			q.balancer.RemoveUpstream(name)
		}
	}
	q.refreshAvailability(now)
}

// refreshAvailability tells the balancer which upstreams accept new calls.
func (q *serviceQueue) refreshAvailability(now time.Time) {
	for name, u := range q.upstreams {
		q.balancer.SetAvailable(name, u.Available(now))
	}
}

// admit assigns an upstream to a call if one has free capacity.
func (q *serviceQueue) admit(now time.Time, entry *fairqueue.Entry[*waitingCall]) fairqueue.AdmitResult {
	waiting := entry.Value
	waiting.request.WaitTime = now.Sub(entry.EnqueuedAt)
	for {
		name, result := q.balancer.Pick(now, &waiting.request)
		switch result {
		case cacheaware.NoCapacity:
			return fairqueue.NoCapacity
		case cacheaware.WaitForCachedPrefix, cacheaware.OnlyExcluded:
			return fairqueue.Skipped
		case cacheaware.Picked:
		}
		u := q.upstreams[name]
		if !u.Available(now) {
			q.balancer.SetAvailable(name, false)

			continue
		}
		u.StartCall()
		q.balancer.StartCall(name, now)
		q.admissionControl.RecordDispatch(now)
		waiting.grants <- grant{upstream: u, grantedAt: now}

		return fairqueue.Admitted
	}
}

// admitWaiting assigns upstreams to waiting calls until no further call can be assigned.
func (q *serviceQueue) admitWaiting(now time.Time) {
	for {
		entry, ok := q.waiting.Pop(now, func(entry *fairqueue.Entry[*waitingCall]) fairqueue.AdmitResult { return q.admit(now, entry) })
		if !ok {
			return
		}
		q.addWaiting(entry.Item, -1)
	}
}
