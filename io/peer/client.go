package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"cardamomward/io/peer/peerpb"
)

// Client is the owner of a slot at another host.
type Client struct {
	peerpb.Owner

	// Peer speaks to the host about itself.
	Peer       peerpb.Peer
	baseURL    string
	httpClient *http.Client
}

var _ SlotOwner = (*Client)(nil)

// NewClient returns a client for the host at a peer address.
func NewClient(address string, httpClient *http.Client) *Client {
	baseURL := "http://" + address
	interceptors := twirp.WithClientInterceptors(clientInterceptor)

	return &Client{
		Owner:      peerpb.NewOwnerProtobufClient(baseURL, httpClient, interceptors),
		Peer:       peerpb.NewPeerProtobufClient(baseURL, httpClient, interceptors),
		baseURL:    baseURL,
		httpClient: httpClient,
	}
}

// setDeadline writes the remaining time of ctx into the request, since clocks of hosts differ.
func setDeadline(ctx context.Context, caller *peerpb.Caller) {
	if deadline, ok := ctx.Deadline(); ok && caller != nil {
		caller.DeadlineMillis = max(1, time.Until(deadline).Milliseconds())
	}
}

// withDeadline applies the remaining time that a request carries.
func contextWithDeadline(ctx context.Context, caller *peerpb.Caller) (context.Context, context.CancelFunc) {
	if caller.GetDeadlineMillis() <= 0 {
		return context.WithCancel(ctx)
	}

	return context.WithTimeout(ctx, time.Duration(caller.GetDeadlineMillis())*time.Millisecond)
}
