package owner

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/placement"
	"cardamomward/core/prompt"
	"cardamomward/core/queue"
	"cardamomward/core/refusal"
	"cardamomward/io/engine"
)

// Dispatcher holds calls until an upstream has room for them, in the order that the queue decides.
type Dispatcher struct {
	Pool          *engine.Pool
	FailureDomain id.FailureDomain

	mu     sync.Mutex
	queues map[id.Service]*queue.Queue[*pending]
}

// pending is a call that waits for an upstream.
type pending struct {
	request placement.Request
	chain   []prompt.Prefix
	exclude map[id.Upstream]bool
	granted chan *engine.Upstream
}

// Call describes a model call to dispatch.
type Call struct {
	Service id.Service
	Item    queue.Item
	Chain   []prompt.Prefix
	// PromptTokens estimates the length of the whole prompt.
	PromptTokens id.Tokens
	// Exclude are upstreams that have failed this call.
	Exclude map[id.Upstream]bool
}

// noUpstreamRetry is when to come back while a service has no upstream.
const noUpstreamRetry = 2 * time.Second

// Acquire waits for an upstream with room and counts the call there; Release must follow.
func (d *Dispatcher) Acquire(ctx context.Context, call Call) (*engine.Upstream, error) {
	if d.unservable(call) {
		return nil, refusal.New(refusal.NoUpstream, "service %s has no upstream that can run this call", call.Service).
			WithRetry(noUpstreamRetry)
	}
	value := &pending{
		request: placement.Request{PromptTokens: call.PromptTokens, FailureDomain: d.FailureDomain},
		chain:   call.Chain,
		exclude: call.Exclude,
		granted: make(chan *engine.Upstream, 1),
	}
	d.mu.Lock()
	q := d.queue(call.Service)
	ticket := q.Push(time.Now(), call.Item, value)
	d.mu.Unlock()
	d.pump(call.Service)

	select {
	case u := <-value.granted:
		return u, nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	waiting := q.Remove(ticket)
	d.mu.Unlock()
	if !waiting {
		d.Release(call, <-value.granted, 0)
	}

	return nil, context.Cause(ctx)
}

// unservable reports whether every upstream of the service is excluded.
func (d *Dispatcher) unservable(call Call) bool {
	for _, u := range d.Pool.Upstreams(call.Service) {
		if !call.Exclude[u.ID()] {
			return false
		}
	}

	return true
}

// Release gives an upstream's room back and charges what the call took.
func (d *Dispatcher) Release(call Call, u *engine.Upstream, served id.Tokens) {
	u.End()
	d.mu.Lock()
	d.queue(call.Service).Charge(call.Item, served)
	d.mu.Unlock()
	d.pump(call.Service)
}

// Pump serves all queues as far as the upstreams have room.
func (d *Dispatcher) Pump() {
	d.mu.Lock()
	services := make([]id.Service, 0, len(d.queues))
	for service := range d.queues {
		services = append(services, service)
	}
	d.mu.Unlock()
	for _, service := range services {
		d.pump(service)
	}
}

func (d *Dispatcher) pump(service id.Service) {
	upstreams := d.Pool.Upstreams(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for {
		_, ok := d.queue(service).Pop(now, func(t *queue.Ticket[*pending]) queue.Verdict {
			return place(now, t.Value, upstreams)
		})
		if !ok {
			return
		}
	}
}

// place grants an upstream to a call if one has room.
func place(now time.Time, value *pending, upstreams []*engine.Upstream) queue.Verdict {
	candidates := make([]placement.Candidate, 0, len(upstreams))
	usable := make([]*engine.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if value.exclude[u.ID()] {
			continue
		}
		if c, ok := u.Candidate(now, value.chain); ok {
			candidates = append(candidates, c)
			usable = append(usable, u)
		}
	}
	index, ok := placement.Choose(now, value.request, candidates)
	if !ok {
		return queue.Passed
	}
	usable[index].Begin(now)
	value.granted <- usable[index]

	return queue.Taken
}

func (d *Dispatcher) queue(service id.Service) *queue.Queue[*pending] {
	if d.queues == nil {
		d.queues = make(map[id.Service]*queue.Queue[*pending])
	}
	q, ok := d.queues[service]
	if !ok {
		q = &queue.Queue[*pending]{}
		d.queues[service] = q
	}

	return q
}

// Waiting returns how many calls wait for each service.
func (d *Dispatcher) Waiting() map[id.Service]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[id.Service]int, len(d.queues))
	for service, q := range d.queues {
		waiting[service] = q.Len()
	}

	return waiting
}
