package owner

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

// Dispatcher holds calls until an upstream has room for them, in the order that the queue decides.
type Dispatcher struct {
	Pool          *engineclient.Pool
	FailureDomain id.FailureDomain
	// Hosts returns how many hosts send calls to the same upstreams; nil stands for one.
	Hosts func() int

	mu    sync.Mutex
	lanes map[id.Service]*lane
}

var _ engineclient.Observer = (*Dispatcher)(nil)

// pending is a call that waits for an upstream.
type pending struct {
	request cacheaware.Request
	granted chan grant
}

// grant is an upstream that a call may use from a time on.
type grant struct {
	upstream *engineclient.Upstream
	at       time.Time
}

// Call describes a model call to dispatch.
type Call struct {
	Service id.Service
	Item    fairqueue.Item
	// Chain are the prefixes of the prompt, shortest first, Lengths their lengths in tokens.
	Chain   []prompt.PrefixHash
	Lengths []id.Tokens
	// Continues says that the program has had turns.
	Continues bool
	// PromptTokens estimates the length of the whole prompt.
	PromptTokens id.Tokens
	// Exclude are upstreams that have failed this call.
	Exclude map[id.Upstream]bool
}

// noUpstreamRetry is when to come back while a service has no upstream.
const noUpstreamRetry = 2 * time.Second

// hopeInterval is how often a waiting call looks whether an upstream is left to wait for.
const hopeInterval = 500 * time.Millisecond

// Acquire waits for an upstream with room and counts the call there; Release must follow.
func (d *Dispatcher) Acquire(ctx context.Context, call Call) (*engineclient.Upstream, error) {
	if d.unservable(call, time.Now()) {
		return nil, noUpstreamFor(call)
	}
	value := &pending{
		request: cacheaware.Request{
			PromptTokens: call.PromptTokens, FailureDomain: d.FailureDomain, Prefixes: call.Chain, PrefixTokens: call.Lengths,
			ExcludedUpstreams: call.Exclude, Urgent: call.Item.Urgent, ContinuesProgram: call.Continues,
		},
		granted: make(chan grant, 1),
	}
	ticket, err := d.push(ctx, call, value)
	if err != nil {
		return nil, err
	}
	d.pump(call.Service)

	err = d.await(ctx, call, value)
	if err == nil {
		return (<-value.granted).upstream, nil
	}
	if !d.remove(call, ticket) {
		g := <-value.granted
		d.Release(call, g.upstream, 0)
	}

	return nil, err
}

// await waits until a call has a grant to take, or returns why it need not wait any longer.
func (d *Dispatcher) await(ctx context.Context, call Call, value *pending) error {
	ticker := time.NewTicker(hopeInterval)
	defer ticker.Stop()
	for {
		select {
		case g := <-value.granted:
			value.granted <- g

			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		case now := <-ticker.C:
			if d.unservable(call, now) {
				return noUpstreamFor(call)
			}
		}
	}
}

func noUpstreamFor(call Call) error {
	return apierror.New(apierror.NoUpstream, "service %s has no upstream that can run this call", call.Service).
		WithRetryAfter(noUpstreamRetry)
}

// push lets a call wait, or refuses it at once if it would not be served before its deadline.
func (d *Dispatcher) push(ctx context.Context, call Call, value *pending) (*fairqueue.Entry[*pending], error) {
	now := time.Now()
	want := admission.Call{ContinuesProgram: call.Continues, Urgent: call.Item.Urgent}
	if deadline, ok := ctx.Deadline(); ok {
		want.TimeToDeadline = deadline.Sub(now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lane(call.Service)
	if after, ok := l.gate.Admit(now, want, l.backlog); !ok {
		return nil, apierror.New(apierror.Overloaded,
			"the calls that wait for service %s leave no time for this one before its deadline", call.Service).WithRetryAfter(after)
	}
	l.count(call.Item, 1)

	return l.queue.Push(now, call.Item, value), nil
}

// remove takes a call out of its queue and reports whether it was still waiting.
func (d *Dispatcher) remove(call Call, ticket *fairqueue.Entry[*pending]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lane(call.Service)
	if !l.queue.Remove(ticket) {
		return false
	}
	l.count(call.Item, -1)

	return true
}

// unservable reports whether every upstream of the service is excluded, leaving or silent.
func (d *Dispatcher) unservable(call Call, now time.Time) bool {
	for _, u := range d.Pool.Upstreams(call.Service) {
		if !call.Exclude[u.ID()] && !u.IsLeavingOrDown(now) {
			return false
		}
	}

	return true
}

// Release gives an upstream's room back and charges what the call took.
func (d *Dispatcher) Release(call Call, u *engineclient.Upstream, served id.Tokens) {
	u.FinishCall()
	now := time.Now()
	d.mu.Lock()
	l := d.lane(call.Service)
	if l.knows(u) {
		l.index.FinishCall(u.ID(), now)
	}
	l.gate.RecordDuration(l.index.MeanCallDuration())
	l.queue.SettleCost(call.Item, served)
	d.mu.Unlock()
	d.pump(call.Service)
}

// Pump serves all queues as far as the upstreams have room, after taking over which take new calls.
func (d *Dispatcher) Pump() {
	now := time.Now()
	d.mu.Lock()
	services := make([]id.Service, 0, len(d.lanes))
	for service, l := range d.lanes {
		l.refresh(now)
		services = append(services, service)
	}
	d.mu.Unlock()
	for _, service := range services {
		d.pump(service)
	}
}

func (d *Dispatcher) pump(service id.Service) {
	hosts := 1
	if d.Hosts != nil {
		hosts = d.Hosts()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	l := d.lane(service)
	l.index.HostCount = hosts
	l.serve(now)
	at, ok := l.queue.NextRetryTime()
	if !ok || l.retryAt.After(now) {
		return
	}
	l.retryAt = at
	time.AfterFunc(at.Sub(now), func() { d.pump(service) })
}

func (d *Dispatcher) lane(service id.Service) *lane {
	if d.lanes == nil {
		d.lanes = make(map[id.Service]*lane)
	}
	l, ok := d.lanes[service]
	if !ok {
		l = &lane{}
		d.lanes[service] = l
	}

	return l
}

// UpstreamsConfigured implements engineclient.Observer.
func (d *Dispatcher) UpstreamsConfigured(service id.Service, upstreams []*engineclient.Upstream) {
	d.mu.Lock()
	d.lane(service).configure(time.Now(), upstreams)
	d.mu.Unlock()
	d.pump(service)
}

// LoadReported implements engineclient.Observer.
func (d *Dispatcher) LoadReported(u *engineclient.Upstream, at time.Time, load engineclient.LoadReport, restarted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lane(u.Service())
	if !l.knows(u) {
		return
	}
	index := &l.index
	if restarted {
		index.ClearCache(u.ID())
	}
	index.RecordLoad(u.ID(), at, cacheaware.LoadReport{
		MaxConcurrentCalls: load.MaxConcurrentCalls, RunningCalls: load.RunningCalls, QueuedCalls: load.QueuedCalls, PrefillTokensPerSecond: load.PrefillTokensPerSecond,
	})
}

// CacheChanged implements engineclient.Observer.
func (d *Dispatcher) CacheChanged(u *engineclient.Upstream, events []engineclient.CacheEvent, gap bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lane(u.Service())
	if !l.knows(u) {
		return
	}
	index := &l.index
	if gap {
		index.RecordEventGap(u.ID())
	}
	for _, event := range events {
		switch event.Kind {
		case engineclient.EventStored:
			index.AddCachedPrefix(u.ID(), event.Prefix)
		case engineclient.EventRemoved:
			index.RemoveCachedPrefix(u.ID(), event.Prefix)
		}
	}
}

// Waiting returns how many calls wait for each service.
func (d *Dispatcher) Waiting() map[id.Service]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[id.Service]int, len(d.lanes))
	for service, l := range d.lanes {
		waiting[service] = l.queue.Len()
	}

	return waiting
}
