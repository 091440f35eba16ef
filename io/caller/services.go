package caller

import (
	"context"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
)

// handleCallService passes a request to a plain service through the owner of its idempotency key's slot.
func (s *Server) handleCallService(ctx context.Context, c *app.RequestContext) {
	if err := s.enforceRateLimit(ctx, c); err != nil {
		httpx.WriteError(c, err)

		return
	}
	req := &peerpb.CallServiceRequest{
		Caller:         callerOf(c),
		Program:        string(c.GetHeader(HeaderProgram)),
		Service:        c.Param("service"),
		Path:           strings.TrimPrefix(c.Param("path"), "/"),
		IdempotencyKey: string(c.GetHeader(HeaderIdempotencyKey)),
		ContentType:    string(c.ContentType()),
		Body:           c.Request.Body(),
	}
	slot := id.CallSlot(id.Workspace(req.GetCaller().GetWorkspace()), req.GetIdempotencyKey())
	reply, err := callOwner(ctx, s.Locator, slot, func(ctx context.Context, owner peer.SlotOwner) (*peerpb.CallServiceReply, error) {
		return owner.CallService(ctx, req)
	})
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	c.Response.Header.Set(HeaderHost, reply.GetOwner())
	c.Response.Header.Set(HeaderUpstream, reply.GetUpstream())
	if reply.GetReplayed() {
		c.Response.Header.Set(HeaderReplayed, "true")
	}
	c.Data(int(reply.GetStatus()), reply.GetContentType(), reply.GetBody())
}
