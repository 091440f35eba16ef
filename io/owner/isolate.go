package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
	"cardamomward/core/refusal"
	"cardamomward/io/engine"
)

const (
	// isolateWait bounds how long a suspect waits for an upstream of its own.
	isolateWait = 15 * time.Second
	// isolateRetry is when to come back after that.
	isolateRetry = 5 * time.Second
)

// isolation lets one suspect of a service at a time have an upstream of its own.
type isolation struct {
	// turn is held by the suspect that runs.
	turn chan struct{}
}

func (o *Owner) isolation(service id.Service) *isolation {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isolations == nil {
		o.isolations = make(map[id.Service]*isolation)
	}
	i, ok := o.isolations[service]
	if !ok {
		i = &isolation{turn: make(chan struct{}, 1)}
		o.isolations[service] = i
	}

	return i
}

// isolate returns an upstream that runs nothing else until release is called.
func (o *Owner) isolate(ctx context.Context, call Call) (u *engine.Upstream, release func(), err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, isolateWait, refusal.New(refusal.Overloaded,
		"the request ran where an upstream crashed, and no upstream could be set aside for it").WithRetry(isolateRetry))
	defer cancel()
	i := o.isolation(call.Service)
	select {
	case i.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, context.Cause(ctx)
	}
	for {
		u, err := o.setAside(ctx, call)
		if err == nil {
			u.Begin(time.Now())

			return u, func() {
				u.End()
				u.Unreserve()
				<-i.turn
				o.Dispatcher.Pump()
			}, nil
		}
		if ctx.Err() != nil {
			<-i.turn

			return nil, nil, context.Cause(ctx)
		}
	}
}

// setAside reserves the least busy upstream and waits until it is idle.
func (o *Owner) setAside(ctx context.Context, call Call) (*engine.Upstream, error) {
	u, ok := o.reserveOne(call)
	if !ok {
		select {
		case <-ctx.Done():
		case <-time.After(blamePause):
		}

		return nil, noUpstreamFree(call)
	}
	if err := u.AwaitIdle(ctx, time.Now()); err != nil {
		u.Unreserve()
		o.Dispatcher.Pump()

		return nil, err
	}

	return u, nil
}

func noUpstreamFree(call Call) error {
	return refusal.New(refusal.NoUpstream, "no upstream of service %s can be set aside", call.Service).WithRetry(noUpstreamRetry)
}

// reserveOne reserves an upstream: hosts prefer different ones where several are as busy.
func (o *Owner) reserveOne(call Call) (*engine.Upstream, bool) {
	upstreams := slices.Clone(o.Dispatcher.Pool.Upstreams(call.Service))
	rank := func(u *engine.Upstream) uint64 { return xxhash.Sum64String(string(o.Host) + "/" + string(u.ID())) }
	slices.SortFunc(upstreams, func(x, y *engine.Upstream) int {
		return cmp.Or(cmp.Compare(x.Busy(), y.Busy()), cmp.Compare(rank(x), rank(y)))
	})
	now := time.Now()
	for _, u := range upstreams {
		if u.Reserve(now) {
			return u, true
		}
	}

	return nil, false
}
