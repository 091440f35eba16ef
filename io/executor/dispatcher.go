package executor

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/admission"
	"cardamomward/core/apierror"
	"cardamomward/core/cacheaware"
	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
	"cardamomward/io/engineclient"
)

// Dispatcher queues model calls by service and assigns them to engines with free capacity. It observes the engine pool,
// so that its load balancers know the engines' load and cached prefixes.
type Dispatcher struct {
	Pool *engineclient.Pool
	// FailureDomain is this host's failure domain.
	FailureDomain id.FailureDomain
	// HostCount returns the number of hosts that send calls to the same upstreams; nil means one.
	HostCount func() int

	mu     sync.Mutex
	queues map[id.Service]*serviceQueue
}

var _ engineclient.Observer = (*Dispatcher)(nil)

// waitingCall is a call in a queue.
type waitingCall struct {
	request cacheaware.Request
	grants  chan grant
}

// grant assigns an upstream to a call.
type grant struct {
	upstream  *engineclient.Upstream
	grantedAt time.Time
}

// ModelCall describes a model call that the Dispatcher assigns to an engine.
type ModelCall struct {
	Service   id.Service
	QueueItem fairqueue.Item
	// Prefixes are the hashes of the prompt's prefixes, shortest first; PrefixTokens are their lengths in tokens.
	Prefixes     []prompt.PrefixHash
	PrefixTokens []id.Tokens
	// ContinuesProgram reports whether the program has completed a turn before.
	ContinuesProgram bool
	// PromptTokens is the estimated length of the whole prompt.
	PromptTokens id.Tokens
	// ExcludedUpstreams are the upstreams that have failed this call.
	ExcludedUpstreams map[id.Upstream]bool
}

// noUpstreamRetryAfter is the retry delay told to callers while a service has no usable upstream.
const noUpstreamRetryAfter = 2 * time.Second

// upstreamCheckInterval is the interval at which a waiting call checks that a usable upstream is left.
const upstreamCheckInterval = 500 * time.Millisecond

// Acquire waits for an upstream with free capacity and counts the call there. The caller must call Release afterwards.
// The error is Overloaded, NoUpstream or the cause of the context.
func (d *Dispatcher) Acquire(ctx context.Context, call ModelCall) (*engineclient.Upstream, error) {
	if d.hasNoUsableUpstream(call, time.Now()) {
		return nil, noUsableUpstreamError(call)
	}
	waiting := &waitingCall{
		request: cacheaware.Request{
			PromptTokens: call.PromptTokens, FailureDomain: d.FailureDomain, Prefixes: call.Prefixes, PrefixTokens: call.PrefixTokens,
			ExcludedUpstreams: call.ExcludedUpstreams, Urgent: call.QueueItem.Urgent, ContinuesProgram: call.ContinuesProgram,
		},
		grants: make(chan grant, 1),
	}
	entry, err := d.enqueue(ctx, call, waiting)
	if err != nil {
		return nil, err
	}
	d.dispatchService(call.Service)

	err = d.awaitGrant(ctx, call, waiting)
	if err == nil {
		return (<-waiting.grants).upstream, nil
	}
	if !d.dequeue(call, entry) {
		g := <-waiting.grants
		d.Release(call, g.upstream, 0)
	}

	return nil, err
}

// awaitGrant waits until the call has a grant in its channel. It returns an error if ctx is done or no usable upstream is
// left.
func (d *Dispatcher) awaitGrant(ctx context.Context, call ModelCall, waiting *waitingCall) error {
	ticker := time.NewTicker(upstreamCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case g := <-waiting.grants:
			waiting.grants <- g

			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		case now := <-ticker.C:
			if d.hasNoUsableUpstream(call, now) {
				return noUsableUpstreamError(call)
			}
		}
	}
}

func noUsableUpstreamError(call ModelCall) error {
	return apierror.New(apierror.NoUpstream, "service %s has no upstream that can run this call", call.Service).
		WithRetryAfter(noUpstreamRetryAfter)
}

// enqueue adds a call to its queue, or refuses it at once if the estimated wait exceeds its deadline.
func (d *Dispatcher) enqueue(ctx context.Context, call ModelCall, waiting *waitingCall) (*fairqueue.Entry[*waitingCall], error) {
	now := time.Now()
	admissionCall := admission.Call{ContinuesProgram: call.ContinuesProgram, Urgent: call.QueueItem.Urgent}
	if deadline, ok := ctx.Deadline(); ok {
		admissionCall.TimeToDeadline = deadline.Sub(now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queueFor(call.Service)
	if retryAfter, ok := queue.admissionControl.Admit(now, admissionCall, queue.backlog); !ok {
		return nil, apierror.New(apierror.Overloaded,
			"the queue of service %s is too long for this call to start before its deadline", call.Service).WithRetryAfter(retryAfter)
	}
	queue.addWaiting(call.QueueItem, 1)

	return queue.waiting.Push(now, call.QueueItem, waiting), nil
}

// dequeue removes a call from its queue and reports whether it was still waiting.
func (d *Dispatcher) dequeue(call ModelCall, entry *fairqueue.Entry[*waitingCall]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queueFor(call.Service)
	if !queue.waiting.Remove(entry) {
		return false
	}
	queue.addWaiting(call.QueueItem, -1)

	return true
}

// hasNoUsableUpstream reports whether every upstream of the service is excluded, leaving or unresponsive.
func (d *Dispatcher) hasNoUsableUpstream(call ModelCall, now time.Time) bool {
	for _, u := range d.Pool.Upstreams(call.Service) {
		if !call.ExcludedUpstreams[u.ID()] && !u.IsLeavingOrDown(now) {
			return false
		}
	}

	return true
}

// Release returns the capacity that a call used at an upstream and replaces its estimated cost in the queue by
// servedTokens.
func (d *Dispatcher) Release(call ModelCall, u *engineclient.Upstream, servedTokens id.Tokens) {
	u.FinishCall()
	now := time.Now()
	d.mu.Lock()
	queue := d.queueFor(call.Service)
	if queue.isCurrent(u) {
		queue.balancer.FinishCall(u.ID(), now)
	}
	queue.admissionControl.RecordDuration(queue.balancer.MeanCallDuration())
	queue.waiting.SettleCost(call.QueueItem, servedTokens)
	d.mu.Unlock()
	d.dispatchService(call.Service)
}

// DispatchAll refreshes the availability of all upstreams and assigns waiting calls of every service.
func (d *Dispatcher) DispatchAll() {
	now := time.Now()
	d.mu.Lock()
	services := make([]id.Service, 0, len(d.queues))
	for service, queue := range d.queues {
		queue.refreshAvailability(now)
		services = append(services, service)
	}
	d.mu.Unlock()
	for _, service := range services {
		d.dispatchService(service)
	}
}

func (d *Dispatcher) dispatchService(service id.Service) {
	hostCount := 1
	if d.HostCount != nil {
		hostCount = d.HostCount()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	queue := d.queueFor(service)
	queue.balancer.HostCount = hostCount
	queue.admitWaiting(now)
	retryAt, ok := queue.waiting.NextRetryTime()
	if !ok || queue.retryAt.After(now) {
		return
	}
	queue.retryAt = retryAt
	time.AfterFunc(retryAt.Sub(now), func() { d.dispatchService(service) })
}

func (d *Dispatcher) queueFor(service id.Service) *serviceQueue {
	if d.queues == nil {
		d.queues = make(map[id.Service]*serviceQueue)
	}
	queue, ok := d.queues[service]
	if !ok {
		queue = &serviceQueue{}
		d.queues[service] = queue
	}

	return queue
}

// UpstreamsConfigured replaces the upstreams of a service and assigns waiting calls to the new ones.
func (d *Dispatcher) UpstreamsConfigured(service id.Service, upstreams []*engineclient.Upstream) {
	d.mu.Lock()
	d.queueFor(service).setUpstreams(time.Now(), upstreams)
	d.mu.Unlock()
	d.dispatchService(service)
}

// LoadReported passes an upstream's load report to the load balancer of its service.
func (d *Dispatcher) LoadReported(u *engineclient.Upstream, at time.Time, load engineclient.LoadReport, restarted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queueFor(u.Service())
	if !queue.isCurrent(u) {
		return
	}
	balancer := &queue.balancer
	if restarted {
		balancer.ClearCache(u.ID())
	}
	balancer.RecordLoad(u.ID(), at, cacheaware.LoadReport{
		MaxConcurrentCalls: load.MaxConcurrentCalls, RunningCalls: load.RunningCalls, QueuedCalls: load.QueuedCalls, PrefillTokensPerSecond: load.PrefillTokensPerSecond,
	})
}

// CacheChanged passes an upstream's cache events to the load balancer of its service.
func (d *Dispatcher) CacheChanged(u *engineclient.Upstream, events []engineclient.CacheEvent, gap bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queueFor(u.Service())
	if !queue.isCurrent(u) {
		return
	}
	balancer := &queue.balancer
	if gap {
		balancer.RecordEventGap(u.ID())
	}
	for _, event := range events {
		switch event.Kind {
		case engineclient.EventStored:
			balancer.AddCachedPrefix(u.ID(), event.Prefix)
			// This host's own records have no sequence number; they repeat prefixes that the engine reports itself.
			if event.Seq > 0 {
				balancer.RecordStoredTokens(u.ID(), time.Now(), event.Tokens)
			}
		case engineclient.EventRemoved:
			balancer.RemoveCachedPrefix(u.ID(), event.Prefix)
		}
	}
}

// WaitingCallCounts returns the number of waiting calls of each service.
func (d *Dispatcher) WaitingCallCounts() map[id.Service]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[id.Service]int, len(d.queues))
	for service, queue := range d.queues {
		waiting[service] = queue.waiting.Len()
	}

	return waiting
}
