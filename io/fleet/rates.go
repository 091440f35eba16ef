package fleet

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/quota"
	"cardamomward/core/routing"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/topicconsumer"
)

const (
	// admitTimeout bounds a request for an allowance.
	admitTimeout = 250 * time.Millisecond
	// floorRetry is when to come back after a refusal while the owner cannot be reached.
	floorRetry = 500 * time.Millisecond
	// queueTime is how long the requests of programs that have begun wait for the rate to hold them.
	queueTime = 400 * time.Millisecond
	// maxRetry bounds when callers are told to come back.
	maxRetry = time.Second
)

// rate is this host's side of a workspace's rate.
type rate struct {
	mu    sync.Mutex
	local quota.Client
	// answered is closed when the request to the owner that is under way has ended.
	answered chan struct{}
	// emptyUntil is when the owner may have something again.
	emptyUntil time.Time
	retry      time.Duration
	lost       bool
}

// AdmitProgram reports whether a program of a workspace may begin now, and otherwise when to come back.
func (f *Fleet) AdmitProgram(ctx context.Context, workspace *routing.Workspace) (bool, time.Duration) {
	limit := limitOf(workspace)
	reply, ok := f.askOwner(ctx, &fleetpb.AdmitRequest{
		Host: string(f.Settings.Name), Workspace: string(workspace.Name), Rate: limit.Rate, Burst: limit.Burst, Starting: true,
	})
	if !ok {
		return f.AdmitRequest(ctx, workspace)
	}

	return reply.Allowed > 0, min(maxRetry, time.Duration(reply.RetryMillis)*time.Millisecond)
}

func limitOf(workspace *routing.Workspace) quota.Limit {
	return quota.Limit{Rate: workspace.RequestsPerSecond, Burst: max(1, workspace.Burst)}
}

// AdmitRequest reports whether a request of a workspace may run now, and otherwise when to come back.
func (f *Fleet) AdmitRequest(ctx context.Context, workspace *routing.Workspace) (bool, time.Duration) {
	r := f.rate(workspace.Name)
	limit := limitOf(workspace)
	r.mu.Lock()
	defer r.mu.Unlock()
	for until := f.Now().Add(queueTime); ctx.Err() == nil; {
		now := f.Now()
		if r.local.TryAcquire(now) {
			return true, 0
		}
		if now.Before(r.emptyUntil) {
			ok, retry := f.withoutAllowance(r, now, limit)
			if ok || !r.emptyUntil.Before(until) {
				return ok, retry
			}
			r.pause(ctx, r.emptyUntil.Sub(now))

			continue
		}
		if r.local.IsRenewing() {
			r.await(ctx)

			continue
		}
		f.ask(ctx, r, workspace.Name, limit)
	}

	return false, floorRetry
}

func (f *Fleet) rate(workspace id.Workspace) *rate {
	f.ratesMu.Lock()
	defer f.ratesMu.Unlock()
	r, ok := f.rates[workspace]
	if !ok {
		r = &rate{}
		f.rates[workspace] = r
	}

	return r
}

// withoutAllowance refuses, or admits on this host's own share while the owner cannot be reached.
func (f *Fleet) withoutAllowance(r *rate, now time.Time, limit quota.Limit) (bool, time.Duration) {
	if r.lost && r.local.TryAcquireFallback(now, limit.Scale(1/float64(f.peers.known()))) {
		return true, 0
	}

	return false, min(maxRetry, max(r.retry, r.emptyUntil.Sub(now)))
}

// pause gives the lock up for a time.
func (r *rate) pause(ctx context.Context, d time.Duration) {
	r.mu.Unlock()
	defer r.mu.Lock()
	topicconsumer.SleepContext(ctx, d)
}

// await gives the lock up until the request to the owner that is under way has ended.
func (r *rate) await(ctx context.Context) {
	answered := r.answered
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-ctx.Done():
	case <-answered:
	}
}

// ask asks the owner for an allowance; the caller holds the lock, which is given up meanwhile.
func (f *Fleet) ask(ctx context.Context, r *rate, workspace id.Workspace, limit quota.Limit) {
	asked := f.Now()
	used, want := r.local.BeginRenewal(asked)
	r.answered = make(chan struct{})
	defer close(r.answered)
	r.mu.Unlock()
	reply, ok := f.askOwner(context.WithoutCancel(ctx), &fleetpb.AdmitRequest{
		Host: string(f.Settings.Name), Workspace: string(workspace), Used: used, Want: want, Rate: limit.Rate, Burst: limit.Burst,
	})
	r.mu.Lock()
	now := f.Now()
	r.lost = !ok
	if !ok {
		r.local.AbortRenewal()
		r.emptyUntil, r.retry = now.Add(floorRetry/4), floorRetry

		return
	}
	r.local.CompleteRenewal(asked, reply.Allowed)
	if reply.Allowed == 0 {
		r.retry = time.Duration(reply.RetryMillis) * time.Millisecond
		r.emptyUntil = now.Add(min(r.retry, quota.LeaseDuration/4))
	}
}

// askOwner asks the owner of a workspace's slot, and once more where the owners had changed.
func (f *Fleet) askOwner(ctx context.Context, req *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	member := f.owner(f.slotOf(req.Workspace))
	if member == "" || f.CutOff(f.Now()) {
		f.wantOwners()

		return nil, false
	}
	reply, err := f.client(member).Admit(ctx, req)
	if err != nil || reply.Outcome != fleetpb.Outcome_OUTCOME_OK {
		f.Logger.Info("owner-lost", "workspace", req.Workspace, "owner", member, "error", err)
		f.wantOwners()

		return nil, false
	}

	return reply, true
}
