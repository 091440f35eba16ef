package daemon

import (
	"context"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/ratelimit"
	"cardamomward/core/settings"
	"cardamomward/io/limiter"
	"cardamomward/io/peer/peerpb"
)

// askGrant asks the owner of a workspace's bucket, here or at another host.
func (h *Host) requestGrant(ctx context.Context, name id.Workspace, want int64) (ratelimit.Grant, error) {
	var state projection.SlotState
	h.programs.View(func(p *projection.Programs) { state = p.Slot(id.WorkspaceSlot(name)) })
	if state.Owner == h.config.Host {
		return h.grantFromBucket(time.Now(), name, want)
	}
	member, ok := h.membership.GetMember(state.Owner)
	if state.State != projection.SlotOwned || !ok {
		return ratelimit.Grant{}, apierror.New(apierror.OwnerChanged, "the bucket of %s has no owner at the moment", name).WithRetryAfter(noOwnerRetryAfter)
	}
	resp, err := h.membership.Client(member.PeerAddress).Peer.Grant(ctx, &peerpb.GrantRequest{
		Host: string(h.config.Host), Workspace: string(name), Requests: want,
	})
	if err != nil {
		return ratelimit.Grant{}, err
	}

	return ratelimit.Grant{
		Requests:   resp.GetRequests(),
		Lease:      time.Duration(resp.GetLeaseMicros()) * time.Microsecond,
		RetryAfter: time.Duration(resp.GetRetryMillis()) * time.Millisecond,
	}, nil
}

// grant grants requests of a workspace whose bucket this host owns.
func (h *Host) grantFromBucket(now time.Time, name id.Workspace, want int64) (ratelimit.Grant, error) {
	workspace, err := h.findWorkspace(name)
	if err != nil {
		return ratelimit.Grant{}, err
	}
	owner := limiter.Owner{Self: h.config.Host, Slot: id.WorkspaceSlot(name), Heard: h.programs.Status().LogReadAt}
	h.programs.View(func(p *projection.Programs) {
		owner.State = p.Slot(owner.Slot)
		owner.Level, _ = p.ReleasedBucketLevel(name)
	})

	return h.bucketOwner.Grant(now, workspace, owner, want)
}

func (h *Host) findWorkspace(name id.Workspace) (*settings.Workspace, error) {
	fleet, _ := h.control.Settings()
	workspace, ok := fleet.Workspaces[name]
	if !ok {
		return nil, apierror.New(apierror.Forbidden, "workspace %q is not in the settings", name)
	}

	return workspace, nil
}

// Grant answers another host that asks for requests of a workspace.
func (h *Host) Grant(_ context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	grant, err := h.grantFromBucket(time.Now(), id.Workspace(req.GetWorkspace()), req.GetRequests())
	if err != nil {
		return nil, err
	}

	return &peerpb.GrantResponse{
		Requests:    grant.Requests,
		LeaseMicros: grant.Lease.Microseconds(),
		RetryMillis: grant.RetryAfter.Milliseconds(),
	}, nil
}
