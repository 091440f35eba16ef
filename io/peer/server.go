package peer

import (
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/twitchtv/twirp"

	"cardamomward/io/httpx"
	"cardamomward/io/peer/peerpb"
)

// Register adds the routes for other hosts to an HTTP server.
func Register(server *httpx.Server, slotOwner SlotOwner, peerService peerpb.Peer) {
	interceptors := twirp.WithServerInterceptors(serverInterceptor)
	ownerServer := peerpb.NewOwnerServer(slotOwner, interceptors)
	peerServer := peerpb.NewPeerServer(peerService, interceptors)
	server.POST(ownerServer.PathPrefix()+"*method", adaptor.HertzHandler(ownerServer))
	server.POST(peerServer.PathPrefix()+"*method", adaptor.HertzHandler(peerServer))
	server.POST(turnPath, handleTurnRequest(slotOwner))
}
