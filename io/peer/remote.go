package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"cardamomward/io/peer/peerpb"
)

// Remote is the owner of a slot at another host.
type Remote struct {
	peerpb.Owner

	// Peer speaks to the host about itself.
	Peer   peerpb.Peer
	base   string
	client *http.Client
}

var _ Owner = (*Remote)(nil)

// NewRemote returns a client for the host at a peer address.
func NewRemote(address string, client *http.Client) *Remote {
	base := "http://" + address
	option := twirp.WithClientInterceptors(clientInterceptor)

	return &Remote{
		Owner:  peerpb.NewOwnerProtobufClient(base, client, option),
		Peer:   peerpb.NewPeerProtobufClient(base, client, option),
		base:   base,
		client: client,
	}
}

// setDeadline writes the remaining time of ctx into the request, since clocks of hosts differ.
func setDeadline(ctx context.Context, caller *peerpb.Caller) {
	if deadline, ok := ctx.Deadline(); ok && caller != nil {
		caller.DeadlineMillis = max(1, time.Until(deadline).Milliseconds())
	}
}

// withDeadline applies the remaining time that a request carries.
func withDeadline(ctx context.Context, caller *peerpb.Caller) (context.Context, context.CancelFunc) {
	if caller.GetDeadlineMillis() <= 0 {
		return context.WithCancel(ctx)
	}

	return context.WithTimeout(ctx, time.Duration(caller.GetDeadlineMillis())*time.Millisecond)
}
