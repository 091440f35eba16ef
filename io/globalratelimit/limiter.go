package globalratelimit

import (
	"context"
	"errors"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/ratelimit"
	"cardamomward/core/settings"
)

// RequestGrantFunc asks the owner of a workspace's bucket to grant a number of requests.
type RequestGrantFunc func(ctx context.Context, workspace id.Workspace, want int64) (ratelimit.Grant, error)

const (
	// grantTimeout limits how long requests wait for a grant; it leaves time for the bucket's owner to change.
	grantTimeout = 1500 * time.Millisecond
	// grantRetryPause is the pause before a grant is requested again.
	grantRetryPause = 50 * time.Millisecond
	// ownerRetryAfter is the retry delay of errors while a bucket has no reachable owner.
	ownerRetryAfter = time.Second
)

// Limiter admits callers' requests at one host within the rates of their workspaces.
type Limiter struct {
	// MaxHosts is the maximum number of hosts, over which the floor part of a rate and burst is divided.
	MaxHosts     int
	RequestGrant RequestGrantFunc

	mu         sync.Mutex
	workspaces map[id.Workspace]*workspaceState
}

// workspaceState holds a workspace's floor bucket and its requests that wait for a grant.
type workspaceState struct {
	floor        ratelimit.Bucket
	waiting      []chan error
	isRequesting bool
}

// Acquire admits one request of a workspace, waiting for a grant if necessary. It returns a RateLimited or Overloaded error
// with a retry delay, or Cancelled if ctx ends.
func (l *Limiter) Acquire(ctx context.Context, workspace *settings.Workspace, now time.Time) error {
	split := ratelimit.NewSplit(float64(workspace.Rate), float64(workspace.Burst), l.MaxHosts)
	l.mu.Lock()
	state := l.workspaceState(workspace.ID)
	if taken, _ := state.floor.Take(now, split.FloorRate, split.FloorBurst, 1); taken == 1 {
		l.mu.Unlock()

		return nil
	}
	result := make(chan error, 1)
	state.waiting = append(state.waiting, result)
	if !state.isRequesting {
		state.isRequesting = true
		go l.requestGrants(workspace, state)
	}
	l.mu.Unlock()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return apierror.New(apierror.Cancelled, "the caller has gone")
	}
}

func (l *Limiter) workspaceState(workspace id.Workspace) *workspaceState {
	if l.workspaces == nil {
		l.workspaces = make(map[id.Workspace]*workspaceState)
	}
	state, ok := l.workspaces[workspace]
	if !ok {
		state = &workspaceState{}
		l.workspaces[workspace] = state
	}

	return state
}

// requestGrants requests grants for all waiting requests, one call at a time, until none waits.
func (l *Limiter) requestGrants(workspace *settings.Workspace, state *workspaceState) {
	for {
		l.mu.Lock()
		waiting := state.waiting
		state.waiting = nil
		if len(waiting) == 0 {
			state.isRequesting = false
			l.mu.Unlock()

			return
		}
		l.mu.Unlock()
		l.admitWaiting(workspace, waiting)
	}
}

// admitWaiting admits as many of the waiting requests as the owner grants, oldest first, and rejects the others.
func (l *Limiter) admitWaiting(workspace *settings.Workspace, waiting []chan error) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	grant, err := l.requestGrantWithRetries(ctx, workspace, int64(len(waiting)))
	granted := min(grant.Requests, int64(len(waiting)))
	if err != nil {
		granted = 0
	}
	for _, result := range waiting[:granted] {
		result <- nil
	}
	for i, result := range waiting[granted:] {
		result <- rejectionError(workspace, grant, err, i)
	}
}

// errGrantExpired is the result of a grant that arrived after its lease, which counts from when the call was sent.
var errGrantExpired = errors.New("the grant arrived after its lease")

// requestGrantWithRetries repeats the call until it succeeds or ctx ends, since the bucket's owner may be changing. A grant that arrives
// after its lease does not count: the workspace is not over its rate.
func (l *Limiter) requestGrantWithRetries(ctx context.Context, workspace *settings.Workspace, want int64) (ratelimit.Grant, error) {
	for {
		requestedAt := time.Now()
		grant, err := l.RequestGrant(ctx, workspace.ID, want)
		if err == nil && grant.Requests > 0 && time.Since(requestedAt) >= grant.Lease {
			err = errGrantExpired
		}
		if err == nil {
			return grant, nil
		}
		timer := time.NewTimer(grantRetryPause)
		select {
		case <-ctx.Done():
			timer.Stop()

			return grant, err
		case <-timer.C:
		}
	}
}

// rejectionError returns the error of a request that got no grant, with a retry delay that grows with its position among the
// rejected requests.
func rejectionError(workspace *settings.Workspace, grant ratelimit.Grant, err error, position int) error {
	if err != nil {
		return apierror.New(apierror.Overloaded, "no owner of the rate limit of workspace %s answered in time", workspace.ID).WithRetryAfter(ownerRetryAfter)
	}
	waitForRate := time.Duration(float64(position+1) / float64(workspace.Rate) * float64(time.Second))

	return apierror.New(apierror.RateLimited, "workspace %s is over its rate of %g/s", workspace.ID, float64(workspace.Rate)).
		WithRetryAfter(max(grant.RetryAfter, waitForRate))
}
