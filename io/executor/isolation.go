package executor

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
	"cardamomward/io/engineclient"
)

const (
	// isolationTimeout bounds the wait of a suspected poison request for a reserved upstream.
	isolationTimeout = 20 * time.Second
	// isolationRetryAfter is the retry delay told to callers after isolationTimeout.
	isolationRetryAfter = 5 * time.Second
	// reserveRetryInterval is the pause between two attempts to reserve an upstream.
	reserveRetryInterval = 100 * time.Millisecond
	// reservationPropagationDelay is the propagation delay of a reservation to other hosts.
	reservationPropagationDelay = 500 * time.Millisecond
	// maxReservationReuse bounds how long one reservation is reused for further suspects.
	maxReservationReuse = 10 * time.Second
	// reservationTimeout is the age at which other hosts ignore and end a reservation that its host has not ended.
	reservationTimeout = 60 * time.Second
	// upstreamsPerReservation limits reservations to one in so many upstreams of a service, but at least one.
	upstreamsPerReservation = 4
)

// isolation runs the suspected poison requests of a service one at a time, each at a reserved upstream.
type isolation struct {
	// runLock is held by the suspect that runs.
	runLock chan struct{}
	// waitingSuspects is the number of suspects that wait for runLock.
	waitingSuspects int
	// reservation is the current reservation, which the next suspect may reuse; nil if there is none.
	reservation *reservation
}

// reservation is an upstream that this host has reserved.
type reservation struct {
	upstream   *engineclient.Upstream
	position   id.Position
	usableFrom time.Time
}

func (e *Executor) isolationOf(service id.Service) *isolation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isolations == nil {
		e.isolations = make(map[id.Service]*isolation)
	}
	iso, ok := e.isolations[service]
	if !ok {
		iso = &isolation{runLock: make(chan struct{}, 1)}
		e.isolations[service] = iso
	}

	return iso
}

// addWaitingSuspects adds delta to the number of waiting suspects and returns the new number.
func (e *Executor) addWaitingSuspects(iso *isolation, delta int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	iso.waitingSuspects += delta

	return iso.waitingSuspects
}

// acquireIsolated returns an upstream that runs no other request until release is called.
func (e *Executor) acquireIsolated(ctx context.Context, call ModelCall) (u *engineclient.Upstream, release func(), err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, isolationTimeout, apierror.New(apierror.Overloaded,
		"the request ran at an upstream that crashed, and no upstream could be reserved to run it alone").WithRetryAfter(isolationRetryAfter))
	defer cancel()
	iso := e.isolationOf(call.Service)
	e.addWaitingSuspects(iso, 1)
	select {
	case iso.runLock <- struct{}{}:
		e.addWaitingSuspects(iso, -1)
	case <-ctx.Done():
		e.addWaitingSuspects(iso, -1)

		return nil, nil, context.Cause(ctx)
	}
	for ctx.Err() == nil {
		if iso.reservation == nil {
			iso.reservation = e.reserveUpstream(ctx, call.Service)
		} else if u := iso.reservation.upstream; u.AwaitIdle(ctx, iso.reservation.usableFrom) == nil {
			u.StartCall()

			return u, func() {
				u.FinishCall()
				e.releaseIsolated(ctx, iso)
			}, nil
		} else {
			e.endHeldReservation(ctx, iso)
		}
	}
	<-iso.runLock

	return nil, nil, context.Cause(ctx)
}

// releaseIsolated ends the reservation unless another suspect of this host can reuse it.
func (e *Executor) releaseIsolated(ctx context.Context, iso *isolation) {
	defer func() { <-iso.runLock }()
	if e.addWaitingSuspects(iso, 0) > 0 && time.Since(iso.reservation.usableFrom) < maxReservationReuse {
		return
	}
	e.endHeldReservation(ctx, iso)
}

// endHeldReservation ends the reservation that the isolation holds.
func (e *Executor) endHeldReservation(ctx context.Context, iso *isolation) {
	e.endReservation(ctx, iso.reservation.upstream.ID(), iso.reservation.position)
	iso.reservation.upstream.ReleaseReservation()
	iso.reservation = nil
	e.Dispatcher.DispatchAll()
}

// endReservation appends the end of a reservation to the log.
func (e *Executor) endReservation(ctx context.Context, upstream id.Upstream, position id.Position) {
	_, err := e.Control.SetReservation(context.WithoutCancel(ctx), &recordpb.Reservation{Upstream: string(upstream), Ends: uint64(position)})
	if err != nil {
		e.Logger.Error(err, "reservation-not-ended", "upstream", upstream)
	}
}

// reserveUpstream reserves the least busy upstream at all hosts; it returns nil after a pause if that fails.
func (e *Executor) reserveUpstream(ctx context.Context, service id.Service) *reservation {
	u, ok := e.reserveLocally(service)
	if !ok {
		sleep(ctx, reserveRetryInterval)

		return nil
	}
	limit := max(1, len(e.Dispatcher.Pool.Upstreams(service))/upstreamsPerReservation)
	result, err := e.Control.SetReservation(ctx, &recordpb.Reservation{
		Upstream: string(u.ID()), Service: string(service), Most: uint32(limit),
	})
	if err == nil && result.Valid() {
		return &reservation{upstream: u, position: result.Position, usableFrom: time.Now().Add(reservationPropagationDelay)}
	}
	u.ReleaseReservation()
	e.Dispatcher.DispatchAll()
	sleep(ctx, reserveRetryInterval)

	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// reserveLocally reserves the least busy upstream at this host. Among equally busy ones each host prefers another, so
// that reservations of several hosts conflict less.
func (e *Executor) reserveLocally(service id.Service) (*engineclient.Upstream, bool) {
	upstreams := slices.Clone(e.Dispatcher.Pool.Upstreams(service))
	rank := func(u *engineclient.Upstream) uint64 {
		return xxhash.Sum64String(string(e.Host) + "/" + string(u.ID()))
	}
	slices.SortFunc(upstreams, func(x, y *engineclient.Upstream) int {
		return cmp.Or(cmp.Compare(x.CallCount(), y.CallCount()), cmp.Compare(rank(x), rank(y)))
	})
	now := time.Now()
	for _, u := range upstreams {
		if u.TryReserve(now) {
			return u, true
		}
	}

	return nil, false
}

// WatchReservations marks the upstreams that other hosts have reserved, so that they get no new calls of this host, until
// ctx ends.
func (e *Executor) WatchReservations(ctx context.Context) {
	firstSeen := make(map[id.Position]time.Time)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		changed := e.Control.Journal.Changed()
		e.applyReservations(ctx, e.Control.Reservations(), firstSeen, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// applyReservations applies the reservations in the log to the engine pool. It ends a reservation older than
// reservationTimeout, since its host is gone or could not end it.
func (e *Executor) applyReservations(ctx context.Context, reservations []projection.Reservation, firstSeen map[id.Position]time.Time, now time.Time) {
	reservedElsewhere := make(map[id.Upstream]bool)
	current := make(map[id.Position]bool)
	for _, r := range reservations {
		current[r.Position] = true
		if _, ok := firstSeen[r.Position]; !ok {
			firstSeen[r.Position] = now
		}
		if now.Sub(firstSeen[r.Position]) > reservationTimeout {
			firstSeen[r.Position] = now
			e.endReservation(ctx, r.Upstream, r.Position)

			continue
		}
		reservedElsewhere[r.Upstream] = r.Host != e.Host
	}
	for position := range firstSeen {
		if !current[position] {
			delete(firstSeen, position)
		}
	}
	e.Dispatcher.Pool.SetReservedElsewhere(reservedElsewhere)
}
