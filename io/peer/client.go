package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"cardamomward/io/http1"
	"cardamomward/io/peer/peerpb"
)

// Client is the RPC client of one other host. The embedded Owner and RunTurn call the host as the owner of a slot.
type Client struct {
	peerpb.Owner

	// Peer calls the services that every host provides to the others, such as heartbeats.
	Peer       peerpb.Peer
	baseURL    string
	httpClient *http.Client
}

var _ SlotOwner = (*Client)(nil)

// maxReplyBytes bounds the body of a reply.
const maxReplyBytes = 64 << 20

// NewClient returns a client of the host at a peer address.
func NewClient(address string, httpClient *http.Client) *Client {
	baseURL := "http://" + address
	httpClient = http1.NewStrictClient(httpClient, maxReplyBytes)
	interceptors := twirp.WithClientInterceptors(clientInterceptor)

	return &Client{
		Owner:      peerpb.NewOwnerProtobufClient(baseURL, httpClient, interceptors),
		Peer:       peerpb.NewPeerProtobufClient(baseURL, httpClient, interceptors),
		baseURL:    baseURL,
		httpClient: httpClient,
	}
}

// setDeadline sets the remaining time of ctx in the request; it is a duration because the clocks of hosts differ.
func setDeadline(ctx context.Context, caller *peerpb.Caller) {
	if deadline, ok := ctx.Deadline(); ok && caller != nil {
		caller.DeadlineMillis = max(1, time.Until(deadline).Milliseconds())
	}
}

// contextWithDeadline returns a context that ends after the remaining time in a request.
func contextWithDeadline(ctx context.Context, caller *peerpb.Caller) (context.Context, context.CancelFunc) {
	if caller.GetDeadlineMillis() <= 0 {
		return context.WithCancel(ctx)
	}

	return context.WithTimeout(ctx, time.Duration(caller.GetDeadlineMillis())*time.Millisecond)
}
