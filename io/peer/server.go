package peer

import (
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/twitchtv/twirp"

	"cardamomward/io/httpx"
	"cardamomward/io/peer/peerpb"
)

// Register serves the peers' calls on a web server.
func Register(web *httpx.Server, owner Owner, self peerpb.Peer) {
	option := twirp.WithServerInterceptors(serverInterceptor)
	ownerServer := peerpb.NewOwnerServer(owner, option)
	peerServer := peerpb.NewPeerServer(self, option)
	web.POST(ownerServer.PathPrefix()+"*method", adaptor.HertzHandler(ownerServer))
	web.POST(peerServer.PathPrefix()+"*method", adaptor.HertzHandler(peerServer))
	web.POST(turnPath, serveTurn(owner))
}
