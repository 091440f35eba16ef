package cluster

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/affinity"
	"cardamomward/core/crashcount"
	"cardamomward/core/id"
	"cardamomward/core/streamorigin"
	"cardamomward/core/traffic"
	"cardamomward/io/fleet/fleetpb"
)

// maxPeerErrorScore bounds the effect of the errors that one peer reports.
const maxPeerErrorScore = 8

// What follows applies to clusters of more than largeClusterPeers peers. In smaller ones, each peer is heard at least every 1.9 s on
// average, on which the placement of requests depends.
const (
	// heartbeatBytesPerSecondInLarge bounds what a host that owns no slot sends of heartbeats, the headers of the datagrams and reports
	// of workspaces included: 28 KB/s are budgeted for the control traffic of a host.
	heartbeatBytesPerSecondInLarge = 28_000
	// minHeartbeatFanoutInLarge bounds from below the number of recipients that this leaves, so that a peer among 830 is heard every
	// 10 s on average, five times within its silence timeout.
	minHeartbeatFanoutInLarge = 8
	// datagramHeaderBytes is the size of the headers of a datagram, those of IPv4 and UDP.
	datagramHeaderBytes = 28
	// heartbeatsPerOwnerListInLarge replaces heartbeatsPerOwnerList once the owners have not changed for ownerListSpreadDuration. A host
	// then still receives about one list a second, since it receives as many heartbeats as it sends.
	heartbeatsPerOwnerListInLarge = 128
	ownerListSpreadDuration       = 10 * time.Second
)

// heartbeatLoop sends heartbeats until ctx ends and evicts owners that have stopped sending theirs.
func (p *peerTable) heartbeatLoop(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.detectProcessPause(p.cluster.Now())
		p.evictSilentOwners(ctx)
		data, targets := p.buildHeartbeat(p.cluster.Now())
		limits := p.buildLimits(p.cluster.Now())
		leaving := p.buildLeaving(p.cluster.Now())
		for _, target := range targets {
			conn.WriteTo(data, target) //nolint:errcheck // a lost heartbeat is followed by the next
			if limits != nil {
				conn.WriteTo(limits, target) //nolint:errcheck // the next heartbeat repeats them
			}
			if leaving != nil {
				conn.WriteTo(leaving, target) //nolint:errcheck // the next heartbeat repeats them
			}
			p.cluster.PeerTraffic(traffic.Heartbeat, target.String()).AddSent(len(data) + len(limits) + len(leaving))
		}
	}
}

// buildLimits returns the encoded limits and cold starts of upstreams of which this host has lately learned, or nil. They are sent
// apart from the heartbeat, whose size is bounded.
func (p *peerTable) buildLimits(now time.Time) []byte {
	limits, cold := p.cluster.limitsToGossip(now), p.cluster.coldToGossip(now)
	if len(limits) == 0 && len(cold) == 0 {
		return nil
	}
	data, err := proto.Marshal(&fleetpb.Beat{Limits: limits, Cold: cold})
	if err != nil {
		p.cluster.Logger.Error(err, "beat-failed")

		return nil
	}

	return data
}

// buildHeartbeat returns the next encoded heartbeat and its recipients.
func (p *peerTable) buildHeartbeat(now time.Time) ([]byte, []*net.UDPAddr) {
	current := p.cluster.ownership.Load()
	crashes := p.cluster.crashesToGossip(now)
	isPartitioned := p.cluster.IsPartitionedFromUpstreams()
	var errorScores map[id.Upstream]float64
	if p.cluster.UpstreamErrors != nil {
		errorScores = p.cluster.UpstreamErrors()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	heartbeat := &fleetpb.Beat{
		Host: string(p.cluster.Settings.Name), Sequence: p.sequence, Draining: p.isDraining || !p.cluster.HasConfig(), Left: p.hasLeft,
		StoreAgeMillis: now.Sub(p.cluster.lastDirectResponse()).Milliseconds(), Generation: current.generation,
	}
	heartbeat.Loads = p.upstreamLoads(now, errorScores)
	heartbeat.Partitioned = isPartitioned
	for _, crash := range crashes {
		heartbeat.Crashes = append(heartbeat.Crashes, &fleetpb.Crash{Fingerprint: uint64(crash.Fingerprint), Process: crash.Process})
	}
	if p.isOwnerListDue(now, current.generation) {
		heartbeat.Owners = current.owners
	}
	heartbeat.Evicted = p.evictionsToGossip(now)
	heartbeat.Member = p.cluster.leaseExpiryNanos.Load() != 0
	targets := p.heartbeatTargets(proto.Size(heartbeat))
	p.cluster.workspaces.addTo(heartbeat, now, len(targets), len(p.byHost))
	data, err := proto.Marshal(heartbeat)
	if err != nil {
		p.cluster.Logger.Error(err, "beat-failed")

		return nil, nil
	}
	p.sumRemoteRequests(now)
	if p.tracksWork {
		p.work.SumPeers(now, p.silenceTimeout())
	}

	return data, targets
}

// isOwnerListDue reports whether the next heartbeat contains the owners of all slots; the caller holds the lock.
func (p *peerTable) isOwnerListDue(now time.Time, generation int64) bool {
	if generation != p.gossipedGeneration {
		p.gossipedGeneration, p.generationChangedAt = generation, now
	}
	if len(p.byHost) > largeClusterPeers && now.Sub(p.generationChangedAt) >= ownerListSpreadDuration {
		return p.sequence%heartbeatsPerOwnerListInLarge == 0
	}

	return p.sequence%heartbeatsPerOwnerList == 0
}

// randomFanout returns the number of randomly selected recipients of a heartbeat of the given size, which leaves reportBytesPerSecond
// for reports.
func randomFanout(peers, heartbeatBytes, reportBytesPerSecond int) int {
	if peers <= largeClusterPeers {
		return min(peers, heartbeatFanout)
	}
	bytesPerHeartbeat := (heartbeatBytesPerSecondInLarge - reportBytesPerSecond) * int(heartbeatInterval/time.Millisecond) / 1000

	return min(heartbeatFanout, max(minHeartbeatFanoutInLarge, bytesPerHeartbeat/(heartbeatBytes+datagramHeaderBytes)))
}

// heartbeatTargets returns the recipients of the next heartbeat, of the given size without a report; the caller holds the lock.
func (p *peerTable) heartbeatTargets(heartbeatBytes int) []*net.UDPAddr {
	targets := make([]*net.UDPAddr, 0, len(p.byHost))
	for _, other := range p.byHost {
		targets = append(targets, other.udpAddr)
	}
	if len(targets) <= heartbeatFanout {
		return targets
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	owners := p.cluster.ownership.Load().owners
	if !p.hasLeft && !slices.Contains(owners, p.selfEntry.PeerAddress) {
		return targets[:randomFanout(len(targets), heartbeatBytes, p.cluster.workspaces.maxReportRate(len(targets)))]
	}
	// The other hosts decide by the heartbeats of owners whether slots are free, so owners do not send fewer in large clusters.
	targets = targets[:heartbeatFanout]
	// Owners receive every heartbeat of each other, for failure detection, and that of a host that has left at once,
	// since they acquire its slots.
	for _, other := range p.byHost {
		if slices.Contains(owners, other.PeerAddress) && !slices.Contains(targets, other.udpAddr) {
			targets = append(targets, other.udpAddr)
		}
	}

	return targets
}

// sendDatagram sends a datagram to peers, which may not receive it.
func (p *peerTable) sendDatagram(data []byte, members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return
	}
	for _, member := range members {
		if other := p.findMember(member); other != nil {
			p.conn.WriteTo(data, other.udpAddr) //nolint:errcheck // lost datagrams are tolerated
		}
	}
}

// receiveHeartbeats handles heartbeats until the connection is closed.
func (p *peerTable) receiveHeartbeats(conn net.PacketConn) {
	buf := make([]byte, maxHeartbeatBytes)
	for {
		n, sender, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		p.cluster.PeerTraffic(traffic.Heartbeat, sender.String()).AddReceived(n)
		var heartbeat fleetpb.Beat
		if err := proto.Unmarshal(buf[:n], &heartbeat); err != nil {
			p.cluster.Logger.Error(err, "beat-refused")

			continue
		}
		p.handleHeartbeat(p.cluster.Now(), &heartbeat)
	}
}

// handleUpstreamReports records what a peer has learned of upstreams from their responses.
func (p *peerTable) handleUpstreamReports(now time.Time, heartbeat *fleetpb.Beat) {
	for _, limit := range heartbeat.Limits {
		p.cluster.recordPeerLimit(decodeUpstreamLimit(now, limit))
	}
	for _, reported := range heartbeat.Leaving {
		p.cluster.recordPeerLeaving(now, reported)
	}
	for _, cold := range heartbeat.Cold {
		p.cluster.recordPeerCold(now, decodeColdUpstream(now, cold))
	}
}

// handleHeartbeat applies a heartbeat. One that arrives out of order does not change the sender's state, unless the
// sender was silent for so long that it may have restarted.
func (p *peerTable) handleHeartbeat(now time.Time, heartbeat *fleetpb.Beat) {
	for _, crash := range heartbeat.Crashes {
		p.cluster.addPeerCrash(now, crashcount.Crash{Fingerprint: id.Fingerprint(crash.Fingerprint), Process: crash.Process})
	}
	p.handleUpstreamReports(now, heartbeat)
	for _, origin := range heartbeat.Streams {
		p.cluster.storeStreamOrigin(streamorigin.Attempt(origin.Attempt), decodeStreamOrigin(origin))
	}
	p.cluster.handlePeerGeneration(heartbeat.Generation)
	if len(heartbeat.Owners) == len(p.cluster.slots) {
		p.cluster.adoptPeerOwnership(&ownership{generation: heartbeat.Generation, owners: heartbeat.Owners})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sender, ok := p.byHost[id.Host(heartbeat.Host)]
	if !ok || (heartbeat.Sequence <= sender.lastSequence && now.Sub(sender.lastHeardAt) < baseSilenceTimeout) {
		return
	}
	if heartbeat.Left && !sender.hasLeft {
		p.cluster.triggerRenewal()
	}
	p.handleEvictions(now, heartbeat.Evicted)
	sender.isEvicted, sender.hasBeenMember = false, heartbeat.Member
	sender.lastHeardAt, sender.lastSequence, sender.isDraining, sender.hasLeft = now, heartbeat.Sequence, heartbeat.Draining, heartbeat.Left
	sender.storeRespondedAt = reportedTime(now, heartbeat.StoreAgeMillis)
	sender.isPartitioned = heartbeat.Partitioned
	p.cluster.workspaces.recordReport(now, heartbeat)
	sender.runningRequests = make(map[id.Upstream]int, len(heartbeat.Loads))
	sender.upstreamErrors = nil
	if p.tracksWork {
		p.work.SetPeer(now, id.Host(heartbeat.Host), decodeLoads(heartbeat.Loads))
	}
	for _, load := range heartbeat.Loads {
		sender.runningRequests[id.Upstream(load.Upstream)] = int(max(0, load.Running))
		if score := min(load.Errors, maxPeerErrorScore); score > 0 {
			if sender.upstreamErrors == nil {
				sender.upstreamErrors = make(map[id.Upstream]float64)
			}
			sender.upstreamErrors[id.Upstream(load.Upstream)] = score
		}
		for _, part := range load.Parts {
			p.cachedParts.RecordRead(now, id.Upstream(load.Upstream), affinity.PromptPartHash(part))
		}
	}
}
