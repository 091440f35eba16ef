package limiter

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/ratelimit"
	"cardamomward/core/settings"
)

// Ask asks the owner of a workspace's bucket for requests.
type Ask func(ctx context.Context, workspace id.Workspace, want int64) (ratelimit.Grant, error)

const (
	// askTimeout bounds how long requests wait for a bucket's owner, which may be about to change.
	askTimeout = 1500 * time.Millisecond
	// askPause is the pause before a question is asked again.
	askPause = 50 * time.Millisecond
	// ownerRetry is when to come back while a bucket's owner does not answer.
	ownerRetry = time.Second
)

// Limiter admits the callers' requests of one host.
type Limiter struct {
	// MaxHosts is the largest number of hosts that the fleet may have.
	MaxHosts int
	Ask      Ask

	mu         sync.Mutex
	workspaces map[id.Workspace]*workspaceState
}

type workspaceState struct {
	floor   ratelimit.Bucket
	waiting []chan error
	asking  bool
}

// Take takes one request of the workspace's rate, or returns a refusal with when to come back.
func (l *Limiter) Take(ctx context.Context, workspace *settings.Workspace, now time.Time) error {
	split := ratelimit.NewSplit(float64(workspace.Rate), float64(workspace.Burst), l.MaxHosts)
	l.mu.Lock()
	state := l.state(workspace.ID)
	if taken, _ := state.floor.Take(now, split.FloorRate, split.FloorBurst, 1); taken == 1 {
		l.mu.Unlock()

		return nil
	}
	admitted := make(chan error, 1)
	state.waiting = append(state.waiting, admitted)
	if !state.asking {
		state.asking = true
		go l.askAll(workspace, state)
	}
	l.mu.Unlock()
	select {
	case err := <-admitted:
		return err
	case <-ctx.Done():
		return apierror.New(apierror.Cancelled, "the caller has gone")
	}
}

func (l *Limiter) state(workspace id.Workspace) *workspaceState {
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

// askAll asks for all that wait, one question at a time, until none waits.
func (l *Limiter) askAll(workspace *settings.Workspace, state *workspaceState) {
	for {
		l.mu.Lock()
		waiting := state.waiting
		state.waiting = nil
		if len(waiting) == 0 {
			state.asking = false
			l.mu.Unlock()

			return
		}
		l.mu.Unlock()
		l.askFor(workspace, waiting)
	}
}

// askFor admits as many of the waiting requests as the owner grants, the oldest first.
func (l *Limiter) askFor(workspace *settings.Workspace, waiting []chan error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	asked, grant, err := l.askUntilAnswered(ctx, workspace, int64(len(waiting)))
	granted := min(grant.Requests, int64(len(waiting)))
	if err != nil || time.Since(asked) >= grant.Lease {
		granted = 0
	}
	for _, admitted := range waiting[:granted] {
		admitted <- nil
	}
	for i, refused := range waiting[granted:] {
		refused <- refuse(workspace, grant, err, i)
	}
}

// askUntilAnswered asks again while the bucket changes hands, and returns when the last question was asked.
func (l *Limiter) askUntilAnswered(
	ctx context.Context, workspace *settings.Workspace, want int64,
) (time.Time, ratelimit.Grant, error) {
	for {
		asked := time.Now()
		grant, err := l.Ask(ctx, workspace.ID, want)
		if err == nil {
			return asked, grant, nil
		}
		timer := time.NewTimer(askPause)
		select {
		case <-ctx.Done():
			timer.Stop()

			return asked, grant, err
		case <-timer.C:
		}
	}
}

// refuse tells a request that got no grant when to come back; place counts the refused ones before it.
func refuse(workspace *settings.Workspace, grant ratelimit.Grant, err error, place int) error {
	if err != nil {
		return apierror.New(apierror.Overloaded, "the rate of workspace %s cannot be confirmed now", workspace.ID).WithRetryAfter(ownerRetry)
	}
	turn := time.Duration(float64(place+1) / float64(workspace.Rate) * float64(time.Second))

	return apierror.New(apierror.RateLimited, "workspace %s is over its rate of %g/s", workspace.ID, float64(workspace.Rate)).
		WithRetryAfter(max(grant.RetryAfter, turn))
}
