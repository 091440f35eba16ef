package daemon

import (
	"context"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/ratelimit"
	"cardamomward/core/settings"
	"cardamomward/io/globalratelimit"
	"cardamomward/io/peer/peerpb"
)

// requestGrant requests a grant from the owner of a workspace's token bucket, which is this host or another one.
func (h *Host) requestGrant(ctx context.Context, name id.Workspace, want int64) (ratelimit.Grant, error) {
	var state projection.SlotState
	h.programsJournal.View(func(p *projection.Programs) { state = p.Slot(id.WorkspaceSlot(name)) })
	if state.Owner == h.config.Host {
		return h.grantFromBucket(time.Now(), name, want)
	}
	member, ok := h.membership.GetMember(state.Owner)
	if state.State != projection.SlotOwned || !ok {
		return ratelimit.Grant{}, apierror.New(apierror.OwnerChanged, "the token bucket of workspace %q has no owner at the moment", name).WithRetryAfter(noOwnerRetryAfter)
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

// grantFromBucket grants requests from a workspace's token bucket that this host owns.
func (h *Host) grantFromBucket(now time.Time, name id.Workspace, want int64) (ratelimit.Grant, error) {
	workspace, err := h.findWorkspace(name)
	if err != nil {
		return ratelimit.Grant{}, err
	}
	owner := globalratelimit.SlotOwnership{SelfID: h.config.Host, SlotID: id.WorkspaceSlot(name), LogReadAt: h.programsJournal.Status().LogReadAt}
	h.programsJournal.View(func(p *projection.Programs) {
		owner.SlotState = p.Slot(owner.SlotID)
		owner.ReleasedLevel, _ = p.ReleasedBucketLevel(name)
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

// Grant serves another host's request for a grant from a workspace's token bucket.
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
