package peer

import (
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/twitchtv/twirp"

	"cardamomward/io/httpx"
	"cardamomward/io/peer/peerpb"
)

// Register adds the routes for other hosts to an HTTP server.
func Register(web *httpx.Server, slotOwner SlotOwner, peerService peerpb.Peer) {
	interceptors := twirp.WithServerInterceptors(serverInterceptor)
	ownerServer := peerpb.NewOwnerServer(slotOwner, interceptors)
	peerServer := peerpb.NewPeerServer(peerService, interceptors)
	web.POST(ownerServer.PathPrefix()+"*method", adaptor.HertzHandler(ownerServer))
	web.POST(peerServer.PathPrefix()+"*method", adaptor.HertzHandler(peerServer))
	web.POST(turnPath, handleTurnRequest(slotOwner))
}
