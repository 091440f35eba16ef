package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record/recordpb"
	"cardamomward/io/engine"
)

const (
	// isolateWait bounds how long a suspect waits for an upstream of its own.
	isolateWait = 20 * time.Second
	// isolateRetry is when to come back after that.
	isolateRetry = 5 * time.Second
	// isolatePause is the pause between two tries to reserve.
	isolatePause = 100 * time.Millisecond
	// reservationSpread is how long other hosts take to hear of a reservation.
	reservationSpread = 500 * time.Millisecond
	// reservationHold bounds how long a reservation is kept for one suspect after another.
	reservationHold = 10 * time.Second
	// reservationLife is after how long a reservation of a host that did not end it is ignored and ended by others.
	reservationLife = 60 * time.Second
	// reservedShare is the part of a service's upstreams that may be reserved at a time, as one in so many.
	reservedShare = 4
)

// isolation lets one suspect of a service at a time have an upstream of its own.
type isolation struct {
	// turn is held by the suspect that runs.
	turn chan struct{}
	// waiting counts the suspects that want the upstream next.
	waiting int
	// held is the reservation that is passed on, if any.
	held *reservation
}

// reservation is an upstream that this host has set aside.
type reservation struct {
	upstream *engine.Upstream
	position id.Position
	since    time.Time
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

func (o *Owner) countWaiting(i *isolation, by int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	i.waiting += by

	return i.waiting
}

// isolate returns an upstream that runs nothing else until release is called.
func (o *Owner) isolate(ctx context.Context, call Call) (u *engine.Upstream, release func(), err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, isolateWait, apierror.New(apierror.Overloaded,
		"the request ran where an upstream crashed, and no upstream could be set aside for it").WithRetryAfter(isolateRetry))
	defer cancel()
	i := o.isolation(call.Service)
	o.countWaiting(i, 1)
	select {
	case i.turn <- struct{}{}:
		o.countWaiting(i, -1)
	case <-ctx.Done():
		o.countWaiting(i, -1)

		return nil, nil, context.Cause(ctx)
	}
	for ctx.Err() == nil {
		if i.held == nil {
			i.held = o.setAside(ctx, call.Service)
		} else if u := i.held.upstream; u.AwaitIdle(ctx, i.held.since) == nil {
			u.Begin()

			return u, func() {
				u.End()
				o.passOn(ctx, i)
			}, nil
		} else {
			o.giveUp(ctx, i)
		}
	}
	<-i.turn

	return nil, nil, context.Cause(ctx)
}

// passOn keeps the reservation for the next suspect of this host, or ends it.
func (o *Owner) passOn(ctx context.Context, i *isolation) {
	defer func() { <-i.turn }()
	if o.countWaiting(i, 0) > 0 && time.Since(i.held.since) < reservationHold {
		return
	}
	o.giveUp(ctx, i)
}

// giveUp ends the reservation that the isolation holds.
func (o *Owner) giveUp(ctx context.Context, i *isolation) {
	o.endReservation(ctx, i.held.upstream.ID(), i.held.position)
	i.held.upstream.Unreserve()
	i.held = nil
	o.Dispatcher.Pump()
}

func (o *Owner) endReservation(ctx context.Context, upstream id.Upstream, position id.Position) {
	_, err := o.Control.SetReservation(context.WithoutCancel(ctx), &recordpb.Reservation{Upstream: string(upstream), Ends: uint64(position)})
	if err != nil {
		o.Logger.Error(err, "reservation-not-ended", "upstream", upstream)
	}
}

// setAside reserves the least busy upstream at all hosts, or returns nil after a pause.
func (o *Owner) setAside(ctx context.Context, service id.Service) *reservation {
	u, ok := o.reserveOne(service)
	if !ok {
		pause(ctx, isolatePause)

		return nil
	}
	most := max(1, len(o.Dispatcher.Pool.Upstreams(service))/reservedShare)
	verdict, err := o.Control.SetReservation(ctx, &recordpb.Reservation{
		Upstream: string(u.ID()), Service: string(service), Most: uint32(most),
	})
	if err == nil && verdict.Valid() {
		return &reservation{upstream: u, position: verdict.Position, since: time.Now().Add(reservationSpread)}
	}
	u.Unreserve()
	o.Dispatcher.Pump()
	pause(ctx, isolatePause)

	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// reserveOne reserves an upstream at this host: hosts prefer different ones where several are as busy.
func (o *Owner) reserveOne(service id.Service) (*engine.Upstream, bool) {
	upstreams := slices.Clone(o.Dispatcher.Pool.Upstreams(service))
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

// WatchReservations keeps this host's calls away from upstreams that other hosts have reserved, until ctx ends.
func (o *Owner) WatchReservations(ctx context.Context) {
	seen := make(map[id.Position]time.Time)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		changed := o.Control.Journal.Changed()
		o.heed(ctx, o.Control.Reservations(), seen, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// heed takes reservations over; one that has stood for too long is ended, since its host is gone or could not end it.
func (o *Owner) heed(ctx context.Context, reservations []projection.Reservation, seen map[id.Position]time.Time, now time.Time) {
	elsewhere := make(map[id.Upstream]bool)
	standing := make(map[id.Position]bool)
	for _, r := range reservations {
		standing[r.Position] = true
		if _, ok := seen[r.Position]; !ok {
			seen[r.Position] = now
		}
		if now.Sub(seen[r.Position]) > reservationLife {
			seen[r.Position] = now
			o.endReservation(ctx, r.Upstream, r.Position)

			continue
		}
		elsewhere[r.Upstream] = r.Host != o.Host
	}
	for position := range seen {
		if !standing[position] {
			delete(seen, position)
		}
	}
	o.Dispatcher.Pool.Keep(elsewhere)
}
