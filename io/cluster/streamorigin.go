package cluster

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/streamorigin"
	"cardamomward/io/fleet/fleetpb"
)

const (
	// streamKeepers is the number of peers that remember where a stream began, besides the host that began it.
	streamKeepers = 3
	// queriedStreamKeepers is the number of peers that are asked: the asking host may know other hosts than the one that
	// selected the keepers.
	queriedStreamKeepers = 5
	// findStreamTimeout bounds the wait for their responses.
	findStreamTimeout = 250 * time.Millisecond
)

// RecordStreamOrigin remembers where the stream of an attempt began, and informs the peers that keep it.
func (c *Cluster) RecordStreamOrigin(attempt streamorigin.Attempt, origin streamorigin.Origin) {
	c.storeStreamOrigin(attempt, origin)
	data, err := proto.Marshal(&fleetpb.Beat{Streams: []*fleetpb.StreamOrigin{encodeStreamOrigin(attempt, origin)}})
	if err != nil {
		c.Logger.Error(err, "stream-origin-lost", "request", attempt)

		return
	}
	c.peers.sendDatagram(data, streamorigin.SelectKeepers(attempt, c.peers.livePeers(c.Now()), streamKeepers))
}

// FindStreamOrigin returns where the stream of an attempt began if this host or one of the peers that keep it knows. It is unknown
// once all peers that may keep it have answered that they do not know.
func (c *Cluster) FindStreamOrigin(ctx context.Context, attempt streamorigin.Attempt) (streamorigin.Origin, streamorigin.Knowledge) {
	if origin, ok := c.lookupStreamOrigin(attempt); ok {
		return origin, streamorigin.Known
	}
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	keepers := streamorigin.SelectKeepers(attempt, c.peers.livePeers(c.Now()), queriedStreamKeepers)
	replies := make(chan *fleetpb.FindStreamReply, len(keepers))
	for _, member := range keepers {
		go func() {
			reply, err := c.peerClient(member).FindStream(ctx, &fleetpb.FindStreamRequest{Attempt: string(attempt)})
			if err != nil {
				c.Logger.V(1).Info("find-stream-failed", "request", attempt, "peer", member, "error", err)
				reply = nil
			}
			replies <- reply
		}()
	}
	known := c.knowledgeWithout(attempt, keepers)
	for range keepers {
		reply := <-replies
		if reply == nil {
			known = streamorigin.Unanswered
		}
		if reply.GetOrigin() != nil {
			origin := decodeStreamOrigin(reply.Origin)
			c.storeStreamOrigin(attempt, origin)

			return origin, streamorigin.Known
		}
	}

	return streamorigin.Origin{}, known
}

// knowledgeWithout returns what is known of a stream's origin if no peer that is asked knows it. Silent peers that may keep it, and
// those of a list that has not been read, may know it.
func (c *Cluster) knowledgeWithout(attempt streamorigin.Attempt, asked []string) streamorigin.Knowledge {
	select {
	case <-c.peers.hostListRead:
	default:
		return streamorigin.Unanswered
	}
	for _, keeper := range streamorigin.SelectKeepers(attempt, c.peers.listedPeers(c.Now()), queriedStreamKeepers) {
		if !slices.Contains(asked, keeper) {
			return streamorigin.Unanswered
		}
	}

	return streamorigin.Unknown
}

// FindStream returns where a stream began if this host remembers it.
func (srv *slotServer) FindStream(_ context.Context, req *fleetpb.FindStreamRequest) (*fleetpb.FindStreamReply, error) {
	attempt := streamorigin.Attempt(req.Attempt)
	origin, ok := srv.cluster.lookupStreamOrigin(attempt)
	if !ok {
		return &fleetpb.FindStreamReply{}, nil
	}

	origin.IsConfirmed = srv.cluster.confirmsOrigin(origin)

	return &fleetpb.FindStreamReply{Origin: encodeStreamOrigin(attempt, origin)}, nil
}

// confirmsOrigin reports whether this host knows that a stream began at the recorded process.
func (c *Cluster) confirmsOrigin(origin streamorigin.Origin) bool {
	return origin.IsConfirmed || c.ConfirmOrigin != nil && c.ConfirmOrigin(origin)
}

func (c *Cluster) storeStreamOrigin(attempt streamorigin.Attempt, origin streamorigin.Origin) {
	if origin.ObservedAt.IsZero() {
		origin.ObservedAt = c.Now()
	}
	c.streamOriginsMu.Lock()
	defer c.streamOriginsMu.Unlock()
	c.streamOrigins.Record(c.Now(), attempt, origin)
}

func (c *Cluster) lookupStreamOrigin(attempt streamorigin.Attempt) (streamorigin.Origin, bool) {
	c.streamOriginsMu.Lock()
	defer c.streamOriginsMu.Unlock()

	return c.streamOrigins.Lookup(attempt)
}

func (c *Cluster) removeExpiredStreamOrigins(now time.Time) {
	c.streamOriginsMu.Lock()
	defer c.streamOriginsMu.Unlock()
	c.streamOrigins.RemoveExpired(now)
}

func encodeStreamOrigin(attempt streamorigin.Attempt, origin streamorigin.Origin) *fleetpb.StreamOrigin {
	return &fleetpb.StreamOrigin{
		Attempt: string(attempt), Service: string(origin.Service), Upstream: string(origin.Upstream),
		Incarnation: origin.Incarnation, Version: string(origin.Version), StartedUnixMillis: origin.StartedAt.UnixMilli(),
		Confirmed: origin.IsConfirmed,
	}
}

func decodeStreamOrigin(origin *fleetpb.StreamOrigin) streamorigin.Origin {
	return streamorigin.Origin{
		Service: id.Service(origin.Service), Upstream: id.Upstream(origin.Upstream), Incarnation: origin.Incarnation,
		Version: id.SoftwareVersion(origin.Version), StartedAt: time.UnixMilli(origin.StartedUnixMillis),
		IsConfirmed: origin.Confirmed,
	}
}
